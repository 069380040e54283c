/**
What one host knows of the load on one backend server: its own requests there, and what their replies showed.
*/

/**
How a request ended. `read` is the reply to a read, whose latency shows the queue at the server; `write` is the reply to
anything else, whose latency also depends on the replicas or on how little work it is. `busy` and `failed` are refusals by
the server, `silent` stands for no reply or no connection, and `none` for a request that shows nothing about the server.
*/
export type Outcome = {readonly kind: 'read'; readonly latencyMs: number} | {readonly kind: 'write' | 'busy' | 'failed' | 'silent' | 'none'};

/** Latency assumed for a server before its first reply. */
const initialLatencyMs = 20;
/** Time constant of the moving average of the latency, and the weight that a sample has at least. */
const latencyMemoryMs = 400;
const minWeight = 0.1;
/** Weight of a sample below and above the average of the latency without a queue. Low samples count more, since queues only add. */
const floorWeights = {below: 0.3, above: 0.02};
/** Time constant with which a measured queue is forgotten while no reply shows it again: servers work off a full queue in about this time. */
const queueMemoryMs = 1000;
/** Time without a reply to a read after which a server is expected to be as fast as a new one, so that it is tried again. */
const staleMs = 10_000;
/** Time constant of the counts of good and bad replies. */
const countMemoryMs = 2000;
/** Latencies outside of this range come from a clock that was set or a process that was stopped. */
const maxLatencyMs = 60_000;

/** The requests of this host at one server, and their recent outcomes. */
export class Track {
	/** Number of requests that were started. */
	requests = 0;
	/** Number of requests in progress. */
	inFlight = 0;
	/** Number of refusals and missing replies since the last reply. */
	badInRow = 0;
	#latencyMs = initialLatencyMs;
	#floorMs = initialLatencyMs;
	#sampledAt = Number.NEGATIVE_INFINITY;
	#hasSample = false;
	#good = 0;
	#bad = 0;
	#countedAt = 0;

	/** Moving average of the latency of reads. */
	get latencyMs(): number {
		return this.#latencyMs;
	}

	/** Whether a read has been answered. */
	get isMeasured(): boolean {
		return this.#hasSample;
	}

	/** Records the outcome of a request. */
	record(outcome: Outcome, now: number): void {
		if (outcome.kind === 'none') {
			return;
		}

		this.#decay(now);
		if (outcome.kind === 'read' || outcome.kind === 'write') {
			this.#good++;
			this.badInRow = 0;
		} else {
			this.#bad++;
			this.badInRow++;
		}

		if (outcome.kind === 'read') {
			this.sample(outcome.latencyMs, now);
		}
	}

	/** Adds a latency of a read. Implausible ones are ignored. */
	sample(latencyMs: number, now: number): void {
		if (!(latencyMs >= 0 && latencyMs <= maxLatencyMs)) {
			return;
		}

		const weight = this.#hasSample ? Math.max(minWeight, 1 - Math.exp((this.#sampledAt - now) / latencyMemoryMs)) : 1;
		this.#latencyMs += weight * (latencyMs - this.#latencyMs);
		this.#floorMs += floorWeights[latencyMs < this.#floorMs ? 'below' : 'above'] * (latencyMs - this.#floorMs);
		this.#sampledAt = now;
		this.#hasSample = true;
	}

	/** Forgets earlier refusals and latencies, when the server counts as usable again. `latencyMs` is that of its last reply. */
	reset(latencyMs: number | undefined): void {
		this.#good = 0;
		this.#bad = 0;
		this.badInRow = 0;
		this.#latencyMs = latencyMs ?? this.#latencyMs;
		this.#floorMs = Math.min(this.#floorMs, this.#latencyMs);
	}

	/** Number of recent replies and refusals, and the share of refusals among them. */
	recent(now: number): {readonly count: number; readonly badRatio: number} {
		this.#decay(now);
		const count = this.#good + this.#bad;
		return {count, badRatio: count === 0 ? 0 : this.#bad / count};
	}

	/**
	Expected latency of one more read: what recent replies showed, or more if this host's own requests in progress exceed
	its share of the slots. Measured queues are forgotten over time unless `isFrozen`.
	*/
	expectedMs(now: number, slots: number, isFrozen: boolean): number {
		const ageMs = now - this.#sampledAt;
		const floorMs = ageMs > staleMs && !isFrozen ? Math.min(this.#floorMs, initialLatencyMs) : this.#floorMs;
		const remembered = isFrozen ? 1 : Math.exp(-ageMs / queueMemoryMs);
		const measuredMs = floorMs + (Math.max(0, this.#latencyMs - floorMs) * remembered);
		// Two hosts of a region work for a service, so half of the slots count as this host's share.
		const predictedMs = floorMs * (this.inFlight + 1) * 2 / slots;
		return Math.max(measuredMs, predictedMs) + (floorMs * this.inFlight / (2 * slots));
	}

	#decay(now: number): void {
		const remembered = Math.exp(Math.min(0, this.#countedAt - now) / countMemoryMs);
		this.#good *= remembered;
		this.#bad *= remembered;
		this.#countedAt = now;
	}
}
