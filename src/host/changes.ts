/**
Changes of primary in the log of the host.
*/
import * as promotion from '../core/promotion.js';
import type * as log from './log.js';

/** Logs what the promotion tasks do. */
export class Log extends promotion.Recorder {
	readonly #logger: log.Logger;

	constructor(logger: log.Logger) {
		super();
		this.#logger = logger;
	}

	override record(event: promotion.Event): void {
		switch (event.kind) {
			case 'suspected': {
				this.#logger.warn('primary suspected', event);
				break;
			}

			case 'cleared': {
				this.#logger.info('suspicion of the primary cleared', event);
				break;
			}

			case 'failed': {
				this.#logger.warn('change of primary failed', event);
				break;
			}

			case 'changed': {
				this.#logger.info('primary changed', event);
				break;
			}

			case 'followed': {
				this.#logger.info('server follows the primary again', event);
				break;
			}
		}
	}
}
