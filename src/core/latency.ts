/**
Recent request latencies of each class.
*/
import * as hdr from 'hdr-histogram-js';
import type * as clock from './clock.js';

const maxLatencyUs = 60_000_000;
/** Percentiles cover the current or the previous window of this length. */
const windowMs = 10_000;
/** With fewer samples than this, a high percentile is not meaningful. */
const minSamples = 20;

type Window = {recent: hdr.Histogram; previous: hdr.Histogram; since: number};

/** Latency histograms by class, in two alternating windows. */
export class Latency {
	readonly #clock: clock.Clock;
	readonly #windows = new Map<string, Window>();

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	/** Adds a latency in ms. */
	record(className: string, latencyMs: number): void {
		this.#window(className).recent.recordValue(Math.min(maxLatencyUs, Math.round(latencyMs * 1000)));
	}

	/**
	Returns the latency in ms below which `percent` percent of the class's recent requests stayed; `undefined` if there are too few.

	@example
	```
	const hedgeAfterMs = latency.percentile('balance', 95) ?? 250;
	```
	*/
	percentile(className: string, percent: number): number | undefined {
		const {recent, previous} = this.#window(className);
		const histogram = [recent, previous].find(({totalCount}) => totalCount >= minSamples);
		return histogram && histogram.getValueAtPercentile(percent) / 1000;
	}

	#window(className: string): Window {
		const now = this.#clock.now();
		let window = this.#windows.get(className);
		if (!window || now - window.since > 2 * windowMs) {
			window = {recent: build(), previous: build(), since: now};
			this.#windows.set(className, window);
		} else if (now - window.since > windowMs) {
			[window.recent, window.previous] = [window.previous, window.recent];
			window.recent.reset();
			window.since = now;
		}

		return window;
	}
}

function build(): hdr.Histogram {
	return hdr.build({highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 2});
}
