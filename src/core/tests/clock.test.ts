import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as clock from '../clock.js';

const testTimeoutMs = 5000;
const timerMs = 30;
/** Longer than the timer, and than the way of a few bytes over the loopback interface. */
const stallMs = 150;

/** Opens a connection over the loopback interface. */
async function connect(context: test.TestContext): Promise<{sender: net.Socket; receiver: net.Socket}> {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await events.EventEmitter.once(server, 'listening');
	const sender = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
	const [receiver] = await events.EventEmitter.once(server, 'connection') as [net.Socket];
	context.after(() => {
		sender.destroy();
		receiver.destroy();
		server.close();
	});
	return {sender, receiver};
}

/** Blocks the event loop, so that timers become due while input waits in the buffers of the sockets. */
function stall(): void {
	const end = performance.now() + stallMs;
	while (performance.now() < end) {
		// A blocked loop is what the test needs.
	}
}

// Guards against a timeout that is reported although the answer arrived in time and waited unread during a stall.
test.test('an answer that arrived during a stall of the loop comes before the timeout', {timeout: testTimeoutMs}, async context => {
	const {sender, receiver} = await connect(context);
	const answer = new clock.System().limit(events.EventEmitter.once(receiver, 'data'), timerMs);
	sender.write('answer');
	stall();
	assert.notEqual(await answer, undefined);
});

// Guards against a decision after a sleep on a state that unread input would change, such as an idle connection.
test.test('what arrived during a stall of the loop is read before a sleep ends', {timeout: testTimeoutMs}, async context => {
	const {sender, receiver} = await connect(context);
	const time = new clock.System();
	let isIdle = true;
	receiver.on('data', () => {
		isIdle = false;
	});
	const slept = time.sleep(timerMs);
	sender.write('request');
	stall();
	await slept;
	assert.equal(isIdle, false);
});

// Guards against a timer of a driver or client that ends a call whose answer waits unread.
test.test('what arrived during a stall of the loop is read before a plain timer takes effect', {timeout: testTimeoutMs}, async context => {
	const {sender, receiver} = await connect(context);
	const order: string[] = [];
	receiver.on('data', () => {
		order.push('data');
	});
	const expired = new Promise<void>(resolve => {
		clock.startTimer(timerMs, () => {
			order.push('timer');
			resolve();
		});
	});
	sender.write('answer');
	stall();
	await expired;
	assert.deepEqual(order, ['data', 'timer']);
});

// Guards against a cancelled timer that takes effect after all, between its expiry and the poll that it waits for.
test.test('a timer that is cancelled while it waits for input to be read has no effect', {timeout: testTimeoutMs}, async context => {
	const {sender, receiver} = await connect(context);
	let hasExpired = false;
	const cancel = clock.startTimer(timerMs, () => {
		hasExpired = true;
	});
	receiver.on('data', cancel);
	sender.write('answer');
	stall();
	await new clock.System().sleep(timerMs);
	assert.equal(hasExpired, false);
});

// Guards against an abort that waits for the timer, or for the loop to poll.
test.test('an aborted sleep ends at once', {timeout: testTimeoutMs}, async () => {
	const aborted = new AbortController();
	const events: string[] = [];
	const sleep = async (): Promise<void> => {
		await new clock.System().sleep(testTimeoutMs, aborted.signal);
		events.push('sleep ended');
	};

	const slept = sleep();
	setImmediate(() => {
		events.push('polled');
	});
	aborted.abort();
	await slept;
	assert.deepEqual(events, ['sleep ended']);
});
