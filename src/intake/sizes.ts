/**
Sizes of the limits on untrusted callers, derived from the memory and the descriptors of the host. All sizes are in bytes.
*/

/** What the process may use. */
export type Resources = {
	/** Memory of the host that the process may use. */
	readonly memoryBytes: number;
	/** Limit of the V8 heap, with both generations. */
	readonly heapBytes: number;
	/** Descriptors that the process may have open. */
	readonly descriptors: number;
};

/** Limits of one process. */
export type Sizes = {
	/** What all connections together may hold, by the weights of `budget.ts`. */
	readonly budgetBytes: number;
	/** Connections of callers. */
	readonly callers: number;
	/** Links that other hosts have opened. */
	readonly links: number;
	/** Connections on which other hosts are opening links. */
	readonly openingLinks: number;
	/** Connections to each of the listeners for readiness and metrics. */
	readonly probes: number;
};

/** Heap that a host without callers uses with a full fleet of links: 30 MB were measured, and caches grow with the fleet. */
const ownHeapBytes = 40 * 1_048_576;
/** Resident size of a host without callers: 75 to 95 MB were measured, with the code and the young generation. */
const ownMemoryBytes = 120 * 1_048_576;
/**
Part of what is left that connections may hold. The remainder is for garbage that isn't collected yet, for the kernel's
socket buffers, and for copies that exist only while a request is passed on.
*/
const budgetRatio = 0.4;
const minBudgetBytes = 8 * 1_048_576;

/** Descriptors that the platform uses on each host. What the ratios leave of the rest is for servers, links to other hosts and the store. */
const platformDescriptors = 200;
const callerRatio = 0.7;
/** Enough for a link from each of 609 other hosts with 4,300 descriptors. */
const linkRatio = 0.15;
const openingLinkRatio = 0.02;
const probeRatio = 0.04;
const maxProbes = 32;
const minSlots = 16;
const minProbes = 8;

/**
Derives the limits of a process.

@example
```
sizes.derive({memoryBytes: 250 * 1_048_576, heapBytes: 208 * 1_048_576, descriptors: 4300}).callers; //=> 2870
```
*/
export function derive({memoryBytes, heapBytes, descriptors}: Resources): Sizes {
	const free = Math.max(descriptors / 2, descriptors - platformDescriptors);
	return {
		budgetBytes: Math.max(minBudgetBytes, Math.floor(Math.min(heapBytes - ownHeapBytes, memoryBytes - ownMemoryBytes) * budgetRatio)),
		links: Math.max(minSlots, Math.floor(free * linkRatio)),
		openingLinks: Math.max(minSlots, Math.floor(free * openingLinkRatio)),
		probes: Math.max(minProbes, Math.min(maxProbes, Math.floor(free * probeRatio))),
		callers: Math.max(minSlots, Math.floor(free * callerRatio)),
	};
}
