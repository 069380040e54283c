/**
This host's copy of the platform's list of hosts.
*/
import type * as membership from '../core/membership.js';
import * as messages from '../generated/messages.js';
import type * as store from '../store/store.js';
import * as cache from './cache.js';

/** Number of watches within the time after which the list is stale. */
const watchesPerStalePeriod = 2;

/** Local copy of the object `hosts`. */
export class Hosts extends cache.Cache {
	override readonly object = 'hosts';
	readonly #members: membership.Members;

	constructor(options: cache.Options, members: membership.Members) {
		super(options);
		this.#members = members;
	}

	override get trustsSinglePeer(): boolean {
		return true;
	}

	/** Each response to a watch confirms the list, so watches must end well before the list is stale. */
	protected override maxWaitMs(): number {
		return this.options.timing.memberStaleMs / watchesPerStalePeriod;
	}

	/**
	The store is authoritative: any version of its list other than the current one is accepted, even a lower one. A list
	from a peer is accepted only if its version is higher. Peers are queried with a delay, so that a responding store can
	deliver the list first.
	*/
	protected override apply({version, value}: store.Entry, source: cache.Source): boolean {
		if (source === 'store') {
			this.#members.confirmList();
		}

		const isNew = source === 'store' ? version !== this.version : version > this.version;
		if (!isNew || version === 0) {
			return false;
		}

		const list = parse(value);
		if (messages.validateHostList(list)) {
			this.#members.applyList(list, source === 'store');
			return true;
		}

		this.options.logger.error('rejected an invalid host list', {version});
		return false;
	}

	protected override async onStoreFailure(): Promise<void> {
		if (this.version === 0) {
			const {entry} = await this.pollSeeds();
			this.adopt(entry);
		}
	}
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
