import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as platform from '../platform.js';

// Guards against a stand-in that ends its process when a caller hangs up during a slow call.
test.test('a caller that hangs up while the store is slow ends its own call only', async () => {
	const standin = new platform.Platform();
	const url = await standin.start('127.0.0.1', 0);
	standin.faults.delayMs = 100;
	await assert.rejects(fetch(`${url}objects/x?expected=0`, {method: 'PUT', body: 'late', signal: AbortSignal.timeout(20)}));
	await new clock.System().sleep(200);
	standin.faults.delayMs = 0;
	const response = await fetch(`${url}objects/x`);
	assert.equal(response.status, 200);
	standin.stop();
});
