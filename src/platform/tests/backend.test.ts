import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import * as states from '../../entry/state.js';
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

/** Replies as a server that keeps prepared statements by the name that it reads, up to the next blank. Records what it runs. */
function prepareAndRun(runs: string[]): (line: string) => string {
	const prepared = new Map<string, string>();
	return line => {
		const [word, id, command, name, ...rest] = line.split(' ');
		if (word === 'STARTUP') {
			return 'READY I 1.1\r\n';
		}

		if (command === 'PREPARE') {
			const [mode, ...shape] = rest;
			const isValid = mode === 'READ' || mode === 'WRITE';
			if (isValid) {
				prepared.set(name, shape.join(' '));
			}

			return `${isValid ? 'COMPLETE -' : 'ERROR MALFORMED'}\r\nREADY I 1.1\r\n`;
		}

		const shape = prepared.get(name);
		if (shape !== undefined) {
			runs.push(`${id}: ${shape}: ${rest.join(' ')}`);
		}

		return `${shape === undefined ? 'ERROR NOPREPARED' : 'COMPLETE sig'}\r\nREADY I 1.1\r\n`;
	};
}

test.test('guards against a prepared statement that runs the shape of another session because its own has several words', {timeout: testTimeoutMs}, async context => {
	const runs: string[] = [];
	const registration = await serve(context, prepareAndRun(runs));
	const outcome = await new backend.Server(registration, new clock.System()).connect(timeoutMs);
	assert.ok(Either.isRight(outcome));
	const connection = outcome.right;
	const shapes = ['q1', 'q1 where open', ' q1', 'READ q1', ''];
	for (const [index, shape] of shapes.entries()) {
		for (const mode of ['read', 'write'] as const) {
			const applied = new states.State().applyTo(connection, {mode, shape});
			const reply = await connection.send({
				kind: 'execute', id: `${mode}${index}`, name: states.preparedName(connection, {mode, shape}), parameters: '7 a b', minPosition: null,
			}, timeoutMs);
			assert.ok(await states.isApplied(applied));
			assert.ok(Either.isRight(reply) && reply.right.refusal === null);
		}
	}

	assert.deepEqual(runs, shapes.flatMap((shape, index) => [`read${index}: ${shape}: 7 a b`, `write${index}: ${shape}: 7 a b`]));
	connection.close();
});
