import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as cases from '../cases.js';

const firstSeed = 4100;
const caseCount = 16;
const tasks = 4;

// Guards against a result reported to a caller that the servers' logs contradict, under random overlapping faults.
test.test('results reported to callers agree with the servers\' logs under random faults', async () => {
	const tally: cases.Tally = {reads: 0, writes: 0, outcomes: {}};
	const seeds = Array.from({length: caseCount}, (_, index) => firstSeed + index);
	await Promise.all(Array.from({length: tasks}, async () => {
		for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
			assert.equal(await cases.check(seed, tally), '', `node dist/bench/fuzz.js --seconds 1 --tasks 1 --seed ${seed}`);
		}
	}));
	// Guards against cases that prove nothing because all requests fail.
	assert.ok(tally.reads > caseCount && (tally.outcomes.ok ?? 0) > caseCount, JSON.stringify(tally));
});
