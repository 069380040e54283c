/**
Records changes of primary in the log and the metrics of the host.
*/
import * as promotion from '../core/promotion.js';
import type * as log from './log.js';
import type * as metrics from './metrics.js';

/** Logs the events of the promotion tasks, and records the duration of each phase. */
export class Recorder extends promotion.Recorder {
	readonly #logger: log.Logger;
	readonly #metrics: metrics.Metrics;

	constructor(logger: log.Logger, hostMetrics: metrics.Metrics) {
		super();
		this.#logger = logger;
		this.#metrics = hostMetrics;
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
				for (const [phase, durationMs] of Object.entries(event.change.durations)) {
					this.#metrics.recordChange(event.change.cause, phase, durationMs);
				}

				break;
			}

			case 'followed': {
				this.#logger.info('server follows the primary again', event);
				break;
			}
		}
	}
}
