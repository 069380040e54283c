/**
Handles the messages of other entry hosts.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as errors from '../core/errors.js';
import type * as membership from '../core/membership.js';
import type * as ownership from '../core/ownership.js';
import type * as types from '../generated/types.js';
import * as connection from '../peer/connection.js';
import type * as links from '../peer/links.js';
import type * as log from './log.js';
import type * as owner from './owner.js';
import type * as cache from './cache.js';

/** Dependencies of `Responder`. */
export type Options = {
	readonly host: string;
	readonly place: string;
	readonly logger: log.Logger;
	readonly members: membership.Members;
	readonly table: ownership.Table;
	readonly owner: owner.Owner;
	readonly links: () => links.Links;
	readonly caches: () => Readonly<Record<types.SharedObject, cache.Cache>>;
	/** Called when members or ownership may have changed. */
	readonly onChange: () => void;
};

/** Responds to peers. */
export class Responder extends connection.Handler {
	readonly #options: Options;
	#address = '';

	constructor(options: Options) {
		super();
		this.#options = options;
	}

	/** Sets the address for links, which is known once the host listens. */
	setAddress(address: string): void {
		this.#address = address;
	}

	override hello(): types.Hello {
		const {host, place, members} = this.#options;
		const {configuration, hosts} = this.#options.caches();
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

	override onHello(peer: connection.Connection, hello: types.Hello): void {
		if (hello.host === this.#options.host) {
			peer.close('the peer uses the name of this host');
			return;
		}

		this.#options.members.receiveHello(hello);
		const {configuration, hosts} = this.#options.caches();
		void configuration.updateFromPeer(peer, hello.configurationVersion);
		void hosts.updateFromPeer(peer, hello.hostsVersion);
		this.#options.onChange();
	}

	override async execute(peer: connection.Connection, request: types.Request): Promise<errors.Outcome<types.Answer>> {
		const {owner: localOwner, table, host, onChange} = this.#options;
		if (localOwner.ownership(request.service) === 'none' && table.next(request.service)?.name === host) {
			localOwner.acquireStandby(request.service);
			onChange();
		}

		const outcome = await localOwner.execute(request);
		if (request.transaction === 'begin' && Either.isRight(outcome)) {
			peer.remoteSessions.set(request.session, request.service);
			if (!peer.isOpen) {
				this.endSession(peer, request.session);
			}
		} else if (request.transaction === 'commit' || request.transaction === 'rollback') {
			peer.remoteSessions.delete(request.session);
		}

		return outcome;
	}

	override endSession(peer: connection.Connection, session: string): void {
		peer.remoteSessions.delete(session);
		void this.#options.owner.endSession(session);
	}

	override suspects({group, term, server}: {group: string; term: number; server: string}): errors.Outcome<boolean> {
		const promotion = this.#options.owner.promotion(group);
		return promotion
			? Either.right(promotion.suspects(term, server))
			: errors.fail('not-run', 'observe', this.#options.host, `this host does not own ${group}`);
	}

	override report(object: types.SharedObject): {version: number; text: string} {
		const {version, text} = this.#options.caches()[object];
		return {version, text};
	}

	override onPrimaryNotice({group, term, server}: types.PrimaryNotice): void {
		this.#options.owner.promotion(group)?.receiveNotice(term, server);
	}

	override onReleaseNotice(peer: connection.Connection, group: string): void {
		this.#options.owner.markReleased(peer.host, group);
		this.#options.onChange();
	}

	override onClosed(peer: connection.Connection): void {
		for (const session of peer.remoteSessions.keys()) {
			this.endSession(peer, session);
		}

		const remaining = this.#options.links().find(peer.host);
		if (peer.host !== '' && peer.host !== this.#options.host && !remaining) {
			this.#options.logger.info('lost the last link to a peer', {peer: peer.host});
			this.onUnreachable(peer.host);
		}
	}

	override onUnreachable(host: string): void {
		this.#options.members.markUnreachable(host);
		this.#options.onChange();
	}
}
