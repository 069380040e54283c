/**
What this host answers to other entry hosts.
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

/** What answering needs. */
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

/** Answers peers. */
export class Answers extends conversation.Handler {
	readonly #parts: Parts;
	#address = '';

	constructor(parts: Parts) {
		super();
		this.#parts = parts;
	}

	/** Sets the address for links, known once the host listens. */
	listen(address: string): void {
		this.#address = address;
	}

	override hello(): types.Hello {
		const {host, place, members} = this.#parts;
		const {configuration, hosts} = this.#parts.replicas();
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
		if (hello.host === this.#parts.host) {
			peer.close('the peer has the name of this host');
			return;
		}

		this.#parts.members.greet(hello);
		const {configuration, hosts} = this.#parts.replicas();
		void configuration.told(peer, hello.configurationVersion);
		void hosts.told(peer, hello.hostsVersion);
		this.#parts.changed();
	}

	override async execute(peer: conversation.Conversation, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const {owner: owned, table, host, changed} = this.#parts;
		if (owned.standing(request.service) === 'none' && table.next(request.service)?.name === host) {
			owned.standBy(request.service);
			changed();
		}

		const outcome = await owned.execute(request);
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
		void this.#parts.owner.endSession(session);
	}

	override suspects({group, term, server}: {group: string; term: number; server: string}): errors.Outcome<boolean> {
		const promotion = this.#parts.owner.promotion(group);
		return promotion
			? Either.right(promotion.opinion(term, server))
			: errors.fail('not-run', 'observe', this.#parts.host, `this host does not own ${group}`);
	}

	override report(object: types.SharedObject): {version: number; text: string} {
		const {version, text} = this.#parts.replicas()[object];
		return {version, text};
	}

	override noticePrimary({group, term, server}: types.PrimaryNotice): void {
		this.#parts.owner.promotion(group)?.notice(term, server);
	}

	override noticeRelease(peer: conversation.Conversation, group: string): void {
		this.#parts.owner.noticeRelease(peer.host, group);
		this.#parts.changed();
	}

	override lost(peer: conversation.Conversation): void {
		for (const session of peer.sessions.keys()) {
			this.endSession(peer, session);
		}

		const remaining = this.#parts.links().find(peer.host);
		if (peer.host !== '' && peer.host !== this.#parts.host && !remaining) {
			this.#parts.logger.info('lost the link to a peer', {peer: peer.host});
			this.unreachable(peer.host);
		}
	}

	override unreachable(host: string): void {
		this.#parts.members.lose(host);
		this.#parts.changed();
	}
}
