import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as soak from '../soak.js';

/** Time in ms with faults, and for a seed as a whole. */
const faultsMs = 6000;
const limitMs = 90_000;
/**
One seed in which hosts work for each other, one in which each works directly, and those that failed once: in 108 the
code was rebuilt while it ran, in 305 and 309 another soak had a port.
*/
const seeds = [102, 103, 108, 305, 309];

for (const seed of seeds) {
	test.test(`soak of seed ${seed}: entry hosts keep every promise under faults and serve again after them`, {timeout: limitMs}, async () => {
		const report = await soak.run(seed, faultsMs);
		assert.deepEqual(report.faults, [], report.events.join('\n'));
		assert.ok(report.served > 0);
	});
}
