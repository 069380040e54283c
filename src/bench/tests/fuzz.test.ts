import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as cases from '../cases.js';

const firstSeed = 4100;
const caseCount = 16;
const tasks = 4;

// Guards against any case of two overlapping faults in which a caller is told something that the servers' logs deny.
test.test('what callers are told agrees with the logs, whatever fails', async () => {
	const tally: cases.Tally = {reads: 0, writes: 0, told: {}};
	const seeds = Array.from({length: caseCount}, (_, index) => firstSeed + index);
	await Promise.all(Array.from({length: tasks}, async () => {
		for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
			assert.equal(await cases.check(seed, tally), '', `node dist/bench/fuzz.js --seconds 1 --tasks 1 --seed ${seed}`);
		}
	}));
	// Guards against cases that prove nothing because everything fails.
	assert.ok(tally.reads > caseCount && (tally.told.ok ?? 0) > caseCount, JSON.stringify(tally));
});
