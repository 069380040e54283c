/**
The platform's list of hosts, as this host holds it.
*/
import type * as membership from '../core/membership.js';
import * as messages from '../generated/messages.js';
import type * as store from '../store/store.js';
import * as replica from './replica.js';

/** Watches within the time after which the list is stale. */
const watchesPerStale = 2;

/** Follows the object `hosts`. */
export class Hosts extends replica.Replica {
	override readonly object = 'hosts';
	readonly #members: membership.Members;

	constructor(parts: replica.Parts, members: membership.Members) {
		super(parts);
		this.#members = members;
	}

	override get isStarted(): boolean {
		return true;
	}

	/** The answer to a watch is also the proof that the list is recent. */
	protected override waitMs(): number {
		return this.parts.timing.memberStaleMs / watchesPerStale;
	}

	/** The store decides while it answers; a peer's list counts once the store has been silent for long. */
	protected override take({version, value}: store.Entry, source: replica.Source): boolean {
		if (source === 'store') {
			this.#members.confirmList();
		}

		const isNew = source === 'store' ? version !== this.version : version > this.version;
		if (!isNew || version === 0) {
			return false;
		}

		const list = parse(value);
		if (messages.validateHostList(list)) {
			this.#members.takeList(list, source === 'store');
			return true;
		}

		this.parts.logger.error('host list refused', {version});
		return false;
	}

	protected override async recover(): Promise<void> {
		if (this.version === 0) {
			const {entry} = await this.consult();
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
