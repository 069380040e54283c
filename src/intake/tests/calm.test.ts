/**
Callers within the documented limits, with the small limits of the other tests: none of them may meet a limit in calm.
*/
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as systems from './system.js';

const timeout = 120_000;
const maxMessageBytes = 1_048_576;

/** Reads replies until `count` of them are complete; returns what was received. */
async function read(socket: net.Socket, count: number): Promise<string> {
	let received = '';
	socket.setEncoding('latin1');
	return new Promise(resolve => {
		socket.on('data', (chunk: string) => {
			received += chunk;
			if (received.split('\r\nREADY ').length + (received.startsWith('READY ') ? 1 : 0) > count) {
				resolve(received);
			}
		});
		socket.on('close', () => {
			resolve(received);
		});
	});
}

// Guards against limits that refuse the longest message, in one piece or in small pieces.
test.test('a message of the greatest length is served, and a longer one is refused', {timeout}, async context => {
	const system = await systems.System.start(context);
	const text = `QUERY q1 READ ${'x'.repeat(maxMessageBytes - 'QUERY q1 READ '.length)}\r\n`;
	const whole = system.open();
	whole.write(text);
	assert.match(await read(whole, 2), /COMPLETE /v);
	const inPieces = system.open();
	for (let sent = 0; sent < text.length; sent += 1000) {
		inPieces.write(text.slice(sent, sent + 1000));
	}

	assert.match(await read(inPieces, 2), /COMPLETE /v);
	const longer = system.open();
	longer.write(`x${text}`);
	const refusal = await read(longer, 2);
	assert.doesNotMatch(refusal, /COMPLETE /v);
	assert.match(refusal, /ERROR MALFORMED /v);
	await system.check(context);
});

// Guards against backpressure that closes or stops a caller who sends requests ahead and reads the replies.
test.test('64 small requests sent ahead are all served, and so are more', {timeout}, async context => {
	const system = await systems.System.start(context);
	for (const count of [64, 300]) {
		const socket = system.open();
		socket.write(Array.from({length: count}, (_, index) => `QUERY q${index} READ 1a4\r\n`).join(''));
		const received = await read(socket, count + 1);
		assert.equal(received.match(/^COMPLETE /gmv)?.length, count);
	}

	await system.check(context);
});

// Guards against a refusal that keeps the value, or ends the session.
test.test('a value beyond the bound of a session is refused, and the session goes on', {timeout}, async context => {
	const system = await systems.System.start(context);
	const socket = system.open();
	const value = 'x'.repeat(1_000_000);
	socket.write(`QUERY s1 SET a ${value}\r\nQUERY s2 SET b ${value}\r\nQUERY s3 SET c d\r\nQUERY q1 READ 1a4\r\n`);
	const received = await read(socket, 5);
	assert.equal(received.match(/^ERROR BUSY .*nothing kept/gmv)?.length, 1);
	assert.match(received, /^COMPLETE ledgers/mv);
	await system.check(context);
});
