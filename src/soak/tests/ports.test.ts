import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as site from '../site.js';

/** Number of draws of which two are equal in almost every run, if equal ones are possible. */
const drawCount = 1000;

// Guards against two hosts of a site with the same port, of which one ends with EADDRINUSE at each start.
test.test('no port is given to two hosts', async () => {
	const ports: number[] = [];
	for (let count = 0; count < drawCount; count++) {
		ports.push(await site.findFreePort());
	}

	assert.equal(new Set(ports).size, drawCount);
});
