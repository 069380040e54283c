/**
Handles the messages of other entry hosts.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import type * as membership from '../core/membership.js';
import type * as ownership from '../core/ownership.js';
import type * as types from '../generated/types.js';
import * as conversation from '../peer/conversation.js';
import type * as links from '../peer/links.js';
import type * as log from './log.js';
import type * as owner from './owner.js';
import type * as replica from './replica.js';

/** Dependencies of `Responder`. */
export type Parts = {
	readonly host: string;
	readonly place: string;
	readonly logger: log.Logger;
	readonly members: membership.Members;
	readonly table: ownership.Table;
	readonly owner: owner.Owner;
	readonly links: () => links.Links;
	readonly replicas: () => Readonly<Record<types.SharedObject, replica.Replica>>;
	/** Called when members or ownership may have changed. */
	readonly changed: () => void;
};

/** Responds to peers. */
export class Answers extends conversation.Handler {
	readonly #options: Parts;
	#address = '';

	constructor(options: Parts) {
		super();
		this.#options = options;
	}

	/** Sets the address for links, which is known once the host listens. */
	listen(address: string): void {
		this.#address = address;
	}

	override hello(): types.Hello {
		const {host, place, members} = this.#options;
		const {configuration, hosts} = this.#options.replicas();
		return {
			kind: 'hello',
			host,
			place,
			address: this.#address,
			configurationVersion: configuration.version,
			hostsVersion: hosts.version,
			leaving: members.isLeaving,
			unreachable: members.unreachable,
		};
	}

	override greeted(peer: conversation.Conversation, hello: types.Hello): void {
		if (hello.host === this.#options.host) {
			peer.close('the peer uses the name of this host');
			return;
		}

		this.#options.members.greet(hello);
		const {configuration, hosts} = this.#options.replicas();
		void configuration.told(peer, hello.configurationVersion);
		void hosts.told(peer, hello.hostsVersion);
		this.#options.changed();
	}

	override async execute(peer: conversation.Conversation, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const {owner: localOwner, table, host, changed} = this.#options;
		if (localOwner.standing(request.service) === 'none' && table.next(request.service)?.name === host) {
			localOwner.standBy(request.service);
			changed();
		}

		const outcome = await localOwner.execute(request);
		if (request.transaction === 'begin' && Either.isRight(outcome)) {
			peer.sessions.set(request.session, request.service);
			if (!peer.isOpen) {
				this.endSession(peer, request.session);
			}
		} else if (request.transaction === 'commit' || request.transaction === 'rollback') {
			peer.sessions.delete(request.session);
		}

		return outcome;
	}

	override endSession(peer: conversation.Conversation, session: string): void {
		peer.sessions.delete(session);
		void this.#options.owner.endSession(session);
	}

	override suspects({group, term, server}: {group: string; term: number; server: string}): errors.Outcome<boolean> {
		const promotion = this.#options.owner.promotion(group);
		return promotion
			? Either.right(promotion.opinion(term, server))
			: errors.fail('not-run', 'observe', this.#options.host, `this host does not own ${group}`);
	}

	override report(object: types.SharedObject): {version: number; text: string} {
		const {version, text} = this.#options.replicas()[object];
		return {version, text};
	}

	override noticePrimary({group, term, server}: types.PrimaryNotice): void {
		this.#options.owner.promotion(group)?.notice(term, server);
	}

	override noticeRelease(peer: conversation.Conversation, group: string): void {
		this.#options.owner.noticeRelease(peer.host, group);
		this.#options.changed();
	}

	override lost(peer: conversation.Conversation): void {
		for (const session of peer.sessions.keys()) {
			this.endSession(peer, session);
		}

		const remaining = this.#options.links().find(peer.host);
		if (peer.host !== '' && peer.host !== this.#options.host && !remaining) {
			this.#options.logger.info('lost the last link to a peer', {peer: peer.host});
			this.unreachable(peer.host);
		}
	}

	override unreachable(host: string): void {
		this.#options.members.lose(host);
		this.#options.changed();
	}
}
