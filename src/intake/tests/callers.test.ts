/**
Crowds on the port for callers. Each crowd alone exhausts the memory or the descriptors of a host without limits.
*/
import * as buffer from 'node:buffer';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as systems from './system.js';

const timeout = 180_000;
const legalBytes = 900_000;
/** Size of a piece of a message that is sent in pieces, and of many small pieces. */
const pieceBytes = 4096;
const smallPieceBytes = 100;

/** A message of legal size: a read whose key has `bytes` bytes. */
function message(index: number, bytes: number): string {
	return `QUERY q${index} READ ${'x'.repeat(bytes)}\r\n`;
}

/** Waits for the next reply, or the end of the connection. */
async function awaitReply(socket: net.Socket): Promise<void> {
	await new Promise<void>(resolve => {
		socket.once('data', () => {
			resolve();
		});
		socket.once('close', () => {
			resolve();
		});
	});
	socket.removeAllListeners('close');
}

// Guards against a heap that runs out of memory on requests that wait for their turn.
test.test('messages of legal size sent ahead on many connections leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const text = message(1, 400_000);
	for (let index = 0; index < 24; index++) {
		const socket = system.open();
		for (let count = 0; count < 12; count++) {
			socket.write(text);
		}
	}

	await system.check(context);
});

// Guards against a heap that runs out of memory on messages that never end.
test.test('half messages in one piece and silence leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	for (let index = 0; index < 150; index++) {
		system.open().write(message(1, legalBytes).slice(0, -2));
	}

	await system.check(context);
});

// Guards against the same when each piece is held apart, and against the time to scan it all again at each piece.
test.test('half messages in pieces and silence leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const sockets = Array.from({length: 120}, () => system.open());
	const piece = 'x'.repeat(pieceBytes);
	for (const socket of sockets) {
		socket.write('QUERY q1 READ ');
	}

	for (let sent = 0; sent < legalBytes && system.isAlive; sent += pieceBytes) {
		for (const socket of sockets) {
			socket.write(piece);
		}

		await timers.setTimeout(1);
	}

	await system.check(context);
});

// Guards against values and prepared statements that one session accumulates.
test.test('a session that sets values and prepares statements without end leaves the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const socket = system.open();
	const value = 'x'.repeat(50_000);
	await awaitReply(socket);
	for (let index = 0; index < 3000 && system.isAlive && !socket.destroyed; index++) {
		socket.write(index % 2 === 0 ? `QUERY s SET k${index} ${value}\r\n` : `QUERY p PREPARE p${index} READ ${value}\r\n`);
		await awaitReply(socket);
	}

	await system.check(context);
});

// Guards against values that are small but keep alive the large piece of input in which they arrived.
test.test('small values that arrive within large pieces of input leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const filler = `QUERY s SET filler ${'x'.repeat(60_000)}\r\n`;
	for (let index = 0; index < 20; index++) {
		const socket = system.open(true);
		for (let count = 0; count < 90; count++) {
			socket.write(`QUERY s SET a-key-of-some-length-${count} a-value-of-some-length\r\n${filler}`);
			await timers.setImmediate();
		}
	}

	await system.check(context);
});

// Guards against descriptors that run out, after which also the store, the servers and callers get no connection.
test.test('connections that never say a word leave descriptors for callers', {timeout}, async context => {
	const system = await systems.System.start(context, {descriptors: 512});
	for (let index = 0; index < 700; index++) {
		system.connect(system.ports.caller);
	}

	await system.check(context);
});

// Guards against a long message that is held until it ends, or scanned again at each piece.
test.test('messages far over the limit, in one piece and in pieces, leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	const long = buffer.Buffer.alloc(4_000_000, 'x');
	const piece = 'x'.repeat(smallPieceBytes);
	const inOnePiece = Array.from({length: 150}, () => system.open());
	for (const socket of inOnePiece) {
		socket.write(long.subarray(0, legalBytes));
	}

	await system.settle();
	for (const socket of inOnePiece) {
		socket.write(long);
	}

	const sockets = Array.from({length: 20}, () => system.open());

	for (let count = 0; count < 3000 && system.isAlive; count++) {
		for (const socket of sockets) {
			socket.write(piece);
		}

		if (count % 10 === 0) {
			await timers.setImmediate();
		}
	}

	await system.check(context);
});

// Guards against replies that accumulate for callers that don't take them.
test.test('readers that take nothing of large replies leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context);
	for (let index = 0; index < 12; index++) {
		const socket = system.open();
		socket.pause();
		for (let count = 0; count < 60; count++) {
			socket.write(`QUERY q${index}-${count} READ pad 1000000\r\n`);
		}
	}

	await system.check(context);
});

// Guards against limits that hold for each crowd alone but not together.
test.test('several crowds at once leave the host alive', {timeout}, async context => {
	const system = await systems.System.start(context, {descriptors: 512});
	for (let index = 0; index < 250; index++) {
		system.connect(system.ports.caller);
	}

	for (let index = 0; index < 60; index++) {
		system.open().write(message(1, legalBytes).slice(0, -2));
	}

	for (let index = 0; index < 20; index++) {
		const socket = system.open();
		socket.pause();
		for (let count = 0; count < 12; count++) {
			socket.write(count % 2 === 0 ? message(count, 200_000) : `QUERY q${index}-${count} READ pad 500000\r\n`);
		}
	}

	await system.check(context);
});
