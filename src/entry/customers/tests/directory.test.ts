import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as directories from '../directory.js';

// Guards against a customer that any caller without a key, or with one too long to be digested, is taken for.
test.test('an empty and a too long key match nothing, even an empty digest in the configuration', () => {
	const customers = new directories.Directory([{
		name: 'wind', priority: 0, operationsPerS: 1, burst: 1, keyDigests: ['', directories.digest('x'.repeat(4096))],
	}]);
	assert.equal(customers.find(directories.digest('')), undefined);
	assert.equal(directories.digest('x'.repeat(65_536)), '');
	assert.equal(customers.find(directories.digest('x'.repeat(4097))), undefined);
	assert.equal(customers.find(directories.digest('x'.repeat(4096)))?.name, 'wind');
});
