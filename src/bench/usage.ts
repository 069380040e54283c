/**
Measures the resource usage of this process: processor time, memory, and bytes on the sockets that it opened.
*/
import * as diagnostics from 'node:diagnostics_channel';
import type * as net from 'node:net';
import process from 'node:process';
import type * as clock from '../core/clock.js';

/** Usage over a measured period. */
export type Usage = {
	/** Processor time as a percentage of one core. */
	readonly corePercent: number;
	/** Growth of the resident set size since `recordBaseline`, in MB. */
	readonly memoryMb: number;
	/** Bytes sent and received on outgoing connections, in KB/s. */
	readonly kilobytesPerSecond: number;
};

const megabyte = 1_000_000;

/** Measures one period. */
export class Meter {
	readonly #clock: clock.Clock;
	readonly #sockets = new Set<net.Socket>();
	#startedAt = 0;
	#cpu = process.cpuUsage();
	#baselineRssBytes = process.memoryUsage().rss;
	#startSocketBytes = 0;

	constructor(time: clock.Clock) {
		this.#clock = time;
		diagnostics.subscribe('net.client.socket', message => {
			this.#sockets.add((message as {socket: net.Socket}).socket);
		});
	}

	/** Records the memory usage before the work is set up. */
	recordBaseline(): void {
		globalThis.gc?.();
		this.#baselineRssBytes = process.memoryUsage().rss;
	}

	/** Begins the measured period, once the work is set up. */
	begin(): void {
		this.#startedAt = this.#clock.now();
		this.#cpu = process.cpuUsage();
		this.#startSocketBytes = this.#countBytes();
	}

	/** Ends the measured period and returns its usage. */
	end(): Usage {
		const seconds = (this.#clock.now() - this.#startedAt) / 1000;
		const {user, system} = process.cpuUsage(this.#cpu);
		globalThis.gc?.();
		return {
			corePercent: (user + system) / 10_000 / seconds,
			memoryMb: (process.memoryUsage().rss - this.#baselineRssBytes) / megabyte,
			kilobytesPerSecond: (this.#countBytes() - this.#startSocketBytes) / 1000 / seconds,
		};
	}

	#countBytes(): number {
		return [...this.#sockets].reduce((sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten, 0);
	}
}
