import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import process from 'node:process';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as platform from '../platform.js';

// Guards against an unhandled rejection that ends the process when a client disconnects during a slow request.
test.test('a client that disconnects during a slow request ends only that request', async () => {
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

function countTimers(): number {
	return process.getActiveResourcesInfo().filter(kind => kind === 'Timeout').length;
}

// Guards against a stopped stand-in that keeps its process alive until its longest watch times out.
test.test('a stopped store clears the timers of its watches', async () => {
	const standin = new platform.Platform();
	const url = await standin.start('127.0.0.1', 0);
	const before = countTimers();
	const watch = http.get(`${url}objects/x?after=0&wait=60000`);
	const ended = new Promise<void>(resolve => {
		watch.once('error', () => {
			resolve();
		});
	});
	const time = new clock.System();
	await time.sleep(100);
	assert.ok(countTimers() > before, 'the watch is pending');
	standin.stop();
	await ended;
	await time.sleep(50);
	assert.equal(countTimers(), before);
});
