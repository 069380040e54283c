import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as usages from '../usage.js';

// Guards against metrics with a label for each of many customers.
test.test('the largest 20 customers are named and the others are counted together', () => {
	const usage = new usages.Usage();
	for (let index = 1; index <= 30; index++) {
		for (let count = 0; count < index; count++) {
			usage.count(`c${index}`, count % 2 === 0 ? 'admitted' : 'limited');
		}
	}

	const samples = usage.list();
	assert.equal(new Set(samples.map(({customer}) => customer)).size, 21);
	assert.ok(samples.some(({customer}) => customer === 'c11') && samples.every(({customer}) => customer !== 'c10'));
	assert.equal(samples.filter(({customer}) => customer === 'other').reduce((sum, {count}) => sum + count, 0), 55);
	assert.equal(samples.find(({customer, result}) => customer === 'c30' && result === 'limited')?.count, 15);
});
