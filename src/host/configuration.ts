/**
The active configuration of a host. Its version never decreases.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as settings from '../core/settings.js';
import type * as types from '../generated/types.js';
import type * as store from '../store/store.js';
import * as replica from './replica.js';

/** Local copy of the object `configuration`. */
export class Configuration extends replica.Replica {
	override readonly object = 'configuration';
	#content: types.Configuration | undefined;
	#isStarted = false;

	/** The active configuration; `undefined` until the first one arrives. */
	get content(): types.Configuration | undefined {
		return this.#content;
	}

	/** Whether the store or a majority of the seeds has responded since this host started. */
	override get isStarted(): boolean {
		return this.#isStarted;
	}

	protected override waitMs(): undefined {
		return undefined;
	}

	protected override take({version, value}: store.Entry, source: replica.Source): boolean {
		this.#isStarted ||= source === 'store';
		if (version <= this.version) {
			if (version < this.version) {
				this.parts.logger.warn('ignored an older configuration', {version, held: this.version, source});
			}

			return false;
		}

		const outcome = settings.parseConfiguration(value, `configuration version ${version}`);
		if (Either.isLeft(outcome)) {
			this.parts.logger.error('configuration refused', {failure: outcome.left});
			return false;
		}

		this.#content = outcome.right;
		return true;
	}

	/** A starting host adopts the newest version from a majority of its seeds, since a single seed may have an old one. */
	protected override async recover(): Promise<void> {
		if (this.#isStarted) {
			return;
		}

		const {entry, answers, asked} = await this.consult();
		if (answers > asked / 2) {
			this.#isStarted = true;
			this.adopt(entry);
		}
	}
}
