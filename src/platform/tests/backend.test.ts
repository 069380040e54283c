import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import * as backend from '../backend.js';
import type * as types from '../../generated/types.js';

const testTimeoutMs = 5000;
const timeoutMs = 300;

/** Starts a server that replies to each line with the result of `respond`; `undefined` sends nothing. */
async function serve(context: test.TestContext, respond: (line: string, socket: net.Socket) => string | undefined): Promise<types.Registration> {
	const sockets = new Set<net.Socket>();
	const server = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			// The test closes the other end.
		});
		socket.on('data', (chunk: Uint8Array) => {
			for (const line of new TextDecoder().decode(chunk).split('\r\n').slice(0, -1)) {
				const text = respond(line, socket);
				if (text !== undefined && socket.writable) {
					socket.write(text);
				}
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {
		id: 'i-1', service: 'ledgers', address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, place: 'p', slots: 2, state: 'ready', role: 'primary', startedAt: 1,
	};
}

test.test('a connection names the server that it expects, and replies are matched in order', {timeout: testTimeoutMs}, async context => {
	const lines: string[] = [];
	const registration = await serve(context, line => {
		lines.push(line);
		return line.startsWith('STARTUP') ? 'READY I 3.5\r\n' : `DATAROW ${line.split(' ').at(-1) ?? ''}\r\nCOMPLETE sig\r\nREADY I 3.6\r\n`;
	});
	const outcome = await new backend.Server(registration, new clock.System()).connect(timeoutMs);
	assert.ok(Either.isRight(outcome));
	const connection = outcome.right;
	const replies = await Promise.all(['1', '2'].map(async item => connection.send({
		kind: 'forward', id: `q${item}`, text: `READ ${item}`, minPosition: null,
	}, timeoutMs)));
	assert.deepEqual(replies.map(reply => Either.isRight(reply) ? reply.right.rows : []), [['1'], ['2']]);
	assert.equal(lines[0], 'STARTUP ledgers sycamorering i-1');
	connection.close();
});

test.test('a command that times out closes the connection and has an unknown outcome', {timeout: testTimeoutMs}, async context => {
	const registration = await serve(context, line => line.startsWith('STARTUP') ? 'READY I 3.5\r\n' : undefined);
	const outcome = await new backend.Server(registration, new clock.System()).connect(timeoutMs);
	assert.ok(Either.isRight(outcome));
	const reply = await outcome.right.send({
		kind: 'forward', id: 'q1', text: 'WRITE 1 x', minPosition: null,
	}, 50);
	assert.ok(Either.isLeft(reply));
	assert.equal(reply.left.kind, 'outcome-unknown');
	assert.equal(outcome.right.isOpen, false);
});

test.test('a server at its connection limit is distinguished from one that does not respond', {timeout: testTimeoutMs}, async context => {
	const full = await serve(context, () => 'ERROR CONNLIMIT i-1\r\nREADY I -\r\n');
	const ending = await serve(context, (_line, socket) => {
		socket.destroy();
		return undefined;
	});
	const unresponsive = await serve(context, () => undefined);
	const steps = await Promise.all([full, ending, unresponsive].map(async registration => {
		const outcome = await new backend.Server(registration, new clock.System()).connect(timeoutMs);
		return Either.isLeft(outcome) ? outcome.left.step : '';
	}));
	assert.deepEqual(steps, ['admit', 'admit', 'connect']);
});
