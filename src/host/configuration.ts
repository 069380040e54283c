/**
The active configuration of a host. Its version never decreases.
*/
import * as Either from 'fp-ts/lib/Either.js';
import * as settings from '../core/settings.js';
import type * as types from '../generated/types.js';
import type * as store from '../store/store.js';
import * as cache from './cache.js';

/** Local copy of the object `configuration`. */
export class Configuration extends cache.Cache {
	override readonly object = 'configuration';
	#content: types.Configuration | undefined;
	#isInitialized = false;

	/** The active configuration; `undefined` until the first one arrives. */
	get content(): types.Configuration | undefined {
		return this.#content;
	}

	/** Whether the store or a majority of the seeds has responded since this host started. */
	override get trustsSinglePeer(): boolean {
		return this.#isInitialized;
	}

	protected override maxWaitMs(): undefined {
		return undefined;
	}

	protected override apply({version, value}: store.Entry, source: cache.Source): boolean {
		this.#isInitialized ||= source === 'store';
		if (version <= this.version) {
			if (version < this.version) {
				this.options.logger.warn('ignored an older configuration', {version, held: this.version, source});
			}

			return false;
		}

		const outcome = settings.parseConfiguration(value, `configuration version ${version}`);
		if (Either.isLeft(outcome)) {
			this.options.logger.error('configuration refused', {failure: outcome.left});
			return false;
		}

		this.#content = outcome.right;
		return true;
	}

	/** A starting host adopts the newest version from a majority of its seeds, since a single seed may have an old one. */
	protected override async onStoreFailure(): Promise<void> {
		if (this.#isInitialized) {
			return;
		}

		const {entry, responses, seeds} = await this.pollSeeds();
		if (responses > seeds / 2) {
			this.#isInitialized = true;
			this.adopt(entry);
		}
	}
}
