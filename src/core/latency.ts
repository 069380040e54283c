/**
Recent latencies of each class of requests.
*/
import * as hdr from 'hdr-histogram-js';
import type * as clock from './clock.js';

const highestLatencyUs = 60_000_000;
/** A quantile comes from the last one or two windows of this length in ms. */
const windowMs = 10_000;
/** Fewer latencies than this say little of a high quantile. */
const leastCount = 20;

type Window = {recent: hdr.Histogram; previous: hdr.Histogram; since: number};

/** Histograms over a sliding window, by class. */
export class Latency {
	readonly #clock: clock.Clock;
	readonly #windows = new Map<string, Window>();

	constructor(time: clock.Clock) {
		this.#clock = time;
	}

	/** Adds a latency in ms. */
	record(name: string, latencyMs: number): void {
		this.#window(name).recent.recordValue(Math.min(highestLatencyUs, Math.round(latencyMs * 1000)));
	}

	/**
	The latency in ms that `percent` of the class's recent requests stayed below; `undefined` while too few are known.

	@example
	```
	const hedgeAfterMs = latency.percentile('balance', 95) ?? 250;
	```
	*/
	percentile(name: string, percent: number): number | undefined {
		const {recent, previous} = this.#window(name);
		const known = [recent, previous].find(({totalCount}) => totalCount >= leastCount);
		return known && known.getValueAtPercentile(percent) / 1000;
	}

	#window(name: string): Window {
		const now = this.#clock.now();
		let window = this.#windows.get(name);
		if (!window || now - window.since > 2 * windowMs) {
			window = {recent: build(), previous: build(), since: now};
			this.#windows.set(name, window);
		} else if (now - window.since > windowMs) {
			[window.recent, window.previous] = [window.previous, window.recent];
			window.recent.reset();
			window.since = now;
		}

		return window;
	}
}

function build(): hdr.Histogram {
	return hdr.build({highestTrackableValue: highestLatencyUs, numberOfSignificantValueDigits: 2});
}
