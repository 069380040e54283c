import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as ports from '../ports.js';

/** Number of draws of which two are equal in almost every run, if equal ones are possible. */
const drawCount = 1000;

// Guards against two hosts of a site with the same port, of which one ends with EADDRINUSE at each start.
test.test('no port is given to two hosts', async () => {
	const found: number[] = [];
	for (let count = 0; count < drawCount; count++) {
		found.push(await ports.findFree('127.0.0.1'));
	}

	assert.equal(new Set(found).size, drawCount);
});
