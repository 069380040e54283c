/**
How the bound on a customer's operations is divided among the hosts that count it.

Each counter has a fixed share, whether or not it can reach the others. So the bound holds in every partition, and no
counter needs to know whether another one is alive. The shares together use the whole bound, overage and slack included.
*/
import type * as types from '../../../generated/types.js';
import type * as directories from '../directory.js';
import type * as buckets from './bucket.js';

/** Largest number of counters of a customer. With more, the share of a small customer would refill too slowly after a start. */
export const maxCounters = 6;
/** Smallest useful share of what exceeds the rate: one operation in the bucket, and a rate that refills it in 2.75 s. */
const minAllowance = 3;
/** Clocks may run this much too fast, so counters refill slower and leases end earlier by it. */
const clockTolerance = 0.01;
/** Fraction of the slack that is left unused, for rounding. */
const reserveRatio = 0.05;
/** Rate of a counter below which the allowance raises the rate, so that a restarted counter of a small customer soon grants an operation. */
const minOperationsPerMs = 0.4 / 1000;

/** Time in ms for which leased operations are valid, from the request for them. */
export function leaseMs({windowS, overage}: types.QuotaBound): number {
	return windowS * 1000 * overage / (1 + clockTolerance);
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
const {operationsPerMs, size} = budget.share({windowS: 5, overage: 0.1, slack: 20}, customer, 6);
```
*/
export function share(bound: types.QuotaBound, customer: directories.Customer, counters: number): buckets.Limits {
	const spanMs = ((bound.windowS * 1000) + (leaseMs(bound) * (1 + clockTolerance))) * (1 + clockTolerance);
	const operationsPerMs = customer.operationsPerS / 1000 / (1 + clockTolerance) / counters;
	const rest = allowance(bound, customer) / counters;
	const missing = Math.max(0, minOperationsPerMs - operationsPerMs);
	const raise = Math.min(missing, Math.max(0, rest - 1) / spanMs);
	return {operationsPerMs: operationsPerMs + raise, size: rest - (raise * spanMs)};
}
