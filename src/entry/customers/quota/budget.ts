/**
How the bound on a customer's operations is divided among the hosts that count it.

Each counter has a fixed share, whether or not it can reach the others. So the bound holds in every partition, and no
counter needs to know whether another one is alive. The shares together use the whole bound, overage and slack included.
*/
import type * as types from '../../../generated/types.js';
import type * as directories from '../directory.js';
import type * as buckets from './bucket.js';

/** What one counter may grant: at most `initial` operations soon after its start, and then those of its bucket. */
export type Share = buckets.Limits & {
	/** Operations that a counter adds to its empty bucket after its start. */
	readonly initial: number;
};

/** Largest number of counters of a customer. With more, a share of the usual slack of 20 would be less than three operations. */
export const maxCounters = 6;
/** Smallest useful share of what exceeds the rate: two times one operation after a start, and one in the bucket. */
const minAllowance = 3;
/** Clocks may run this much too fast, so counters refill slower and leases end earlier by it. */
const clockTolerance = 0.01;
/** Fraction of the slack that is left unused, for rounding. */
const reserveRatio = 0.05;
/** Fraction of the allowance that a counter adds after its start. It is counted twice, see `initialDelayMs`. */
const initialRatio = 1 / 6;

/** Time in ms for which leased operations are valid, from the request for them. */
export function leaseMs({windowS, overage}: types.QuotaBound): number {
	return windowS * 1000 * overage / (1 + clockTolerance);
}

/** Time in ms after the start of counting at which `initial` is added. A window then has that of two starts at most. */
export function initialDelayMs(bound: types.QuotaBound): number {
	return ((bound.windowS * 1000) + leaseMs(bound)) / 2 * (1 + (2 * clockTolerance));
}

/** Operations beyond the rate that a window allows. */
function allowance({overage, slack}: types.QuotaBound, {burst}: directories.Customer): number {
	return (burst * (1 + overage)) + (slack * (1 - reserveRatio));
}

/** Number of hosts that count a customer, if there are as many. A small bound is not divided into useless shares. */
export function countCounters(bound: types.QuotaBound, customer: directories.Customer): number {
	return Math.max(1, Math.min(maxCounters, Math.floor(allowance(bound, customer) / minAllowance)));
}

/**
The share of one of `counters` equal counters. In a window, operations can be granted that were requested up to a lease's
time before it.

@example
```
const {operationsPerMs, size, initial} = budget.share({windowS: 5, overage: 0.1, slack: 20}, customer, 6);
```
*/
export function share(bound: types.QuotaBound, customer: directories.Customer, counters: number): Share {
	const spanMs = ((bound.windowS * 1000) + (leaseMs(bound) * (1 + clockTolerance))) * (1 + clockTolerance);
	const operationsPerMs = customer.operationsPerS / 1000 / (1 + clockTolerance) / counters;
	const rest = allowance(bound, customer) / counters;
	const initial = rest >= minAllowance ? Math.max(1, rest * initialRatio) : 0;
	const remaining = rest - (2 * initial);
	const size = Math.max(Math.min(1, remaining), remaining / 2);
	// The rest raises the rate, which matters for customers with less than an operation a second.
	return {operationsPerMs: operationsPerMs + ((remaining - size) / spanMs), size, initial};
}
