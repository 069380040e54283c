import * as assert from 'node:assert/strict';
import * as buffer from 'node:buffer';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import type * as caller from '../../entry/caller.js';
import * as statement from '../../entry/statement.js';
import * as intakes from '../../intake/intake.js';
import * as callers from '../caller.js';

const testTimeoutMs = 5000;
const deliveryMs = 50;

/** Starts a listener and opens one connection to it; returns both ends. */
async function connect(context: test.TestContext, intake = new intakes.Intake()): Promise<{accepted: caller.Caller; socket: net.Socket}> {
	const accepted: caller.Caller[] = [];
	const listener = new callers.Listener(connection => {
		accepted.push(connection);
	}, intake);
	const port = await listener.listen('127.0.0.1:0');
	const socket = net.connect(port, '127.0.0.1');
	await events.EventEmitter.once(socket, 'connect');
	while (accepted.length === 0) {
		await timers.setTimeout(1);
	}

	context.after(() => {
		socket.destroy();
		listener.close();
	});
	return {accepted: accepted[0], socket};
}

async function read(socket: net.Socket): Promise<string> {
	const [chunk] = await events.EventEmitter.once(socket, 'data') as [Uint8Array];
	return new TextDecoder().decode(chunk);
}

test.test('a session is opened, a statement is read and a complete reply is sent', {timeout: testTimeoutMs}, async context => {
	const {accepted, socket} = await connect(context);
	socket.write('STARTUP lepu270 u3f1\r\nQUERY 5c0e READ 1a4\r\n');
	assert.deepEqual(await accepted.open(), {database: 'lepu270', key: 'u3f1'});
	accepted.accept();
	assert.equal(await read(socket), 'READY I -\r\n');
	assert.deepEqual(await accepted.next(), {id: '5c0e', statement: {kind: 'direct', mode: 'read', text: 'READ 1a4'}});
	accepted.reply({...statement.success('none'), rows: ['a b'], signature: '7.1'});
	assert.equal(await read(socket), 'DATAROW a b\r\nCOMPLETE 7.1\r\nREADY I -\r\n');
});

test.test('a request that arrives after the session was closed is not read', {timeout: testTimeoutMs}, async context => {
	const {accepted, socket} = await connect(context);
	socket.write('STARTUP lepu270 u3f1\r\n');
	await accepted.open();
	accepted.close();
	socket.on('error', () => {
		// The unread request resets the connection.
	});
	socket.write('QUERY 5c0e READ 1a4\r\n');
	await timers.setTimeout(deliveryMs);
	assert.equal(accepted.hasPendingRequest, false);
	assert.equal(await accepted.next(), undefined);
});

// Guards against a request that is taken from the connection after the close, and so ends without an answer.
test.test('nothing is received from the network once the session is closed', {timeout: testTimeoutMs}, async context => {
	const sockets: net.Socket[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
	});
	server.listen(0, '127.0.0.1');
	await events.EventEmitter.once(server, 'listening');
	const client = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
	context.after(() => {
		client.destroy();
		server.close();
	});
	client.on('error', () => {
		// The unread request resets the connection.
	});
	await events.EventEmitter.once(client, 'connect');
	while (sockets.length === 0) {
		await timers.setTimeout(1);
	}

	const accepted = new callers.Caller(sockets[0]);
	const startup = 'STARTUP lepu270 u3f1\r\n';
	client.write(startup);
	await accepted.open();
	accepted.accept();
	accepted.close();
	client.write('QUERY 5c0e READ 1a4\r\n');
	await timers.setTimeout(deliveryMs);
	assert.equal(sockets[0].bytesRead, startup.length);
});

// Guards against a caller that sends its next request between a reply and the close that follows it.
test.test('a close right after a reply takes effect in the same turn of the event loop', {timeout: testTimeoutMs}, async context => {
	const {accepted, socket} = await connect(context);
	socket.write('STARTUP lepu270 u3f1\r\nQUERY 5c0e READ 1a4\r\n');
	await accepted.open();
	accepted.accept();
	await accepted.next();
	const chunks: Uint8Array[] = [];
	socket.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	const ended = events.EventEmitter.once(socket, 'end');
	accepted.reply(statement.success('none'));
	accepted.close();
	// A closed socket has no remote address.
	assert.equal(accepted.address, '');
	await ended;
	assert.match(new TextDecoder().decode(buffer.Buffer.concat(chunks)), /COMPLETE .*\r\nREADY I -\r\n$/v);
});

// Guards against a close that cuts a reply which the operating system has not taken yet.
test.test('a reply larger than the buffers of the connection is complete before the close', {timeout: testTimeoutMs}, async context => {
	const {accepted, socket} = await connect(context);
	socket.write('STARTUP lepu270 u3f1\r\nQUERY 5c0e READ 1a4\r\n');
	await accepted.open();
	accepted.accept();
	await accepted.next();
	const rowBytes = 16 * 1024 * 1024;
	accepted.reply({...statement.success('none'), rows: ['a'.repeat(rowBytes)], signature: '7.1'});
	accepted.close();
	let received = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		received += chunk;
	});
	await events.EventEmitter.once(socket, 'end');
	assert.ok(received.length > rowBytes);
	assert.ok(received.endsWith('COMPLETE 7.1\r\nREADY I -\r\n'));
});

test.test('a first line other than STARTUP is rejected with one error', {timeout: testTimeoutMs}, async context => {
	const {accepted, socket} = await connect(context);
	socket.write('GET / HTTP/1.1\r\n');
	const opened = accepted.open();
	assert.match(await read(socket), /^ERROR MALFORMED /v);
	assert.equal(await opened, undefined);
});

// Guards against an ended session whose output stays in memory for ever, since its caller doesn't take it.
test.test('a closed session whose caller takes nothing is ended by the bound on readers', {timeout: testTimeoutMs}, async context => {
	const intake = new intakes.Intake();
	const {accepted, socket} = await connect(context, intake);
	socket.pause();
	socket.write('STARTUP lepu270 u3f1\r\nQUERY 5c0e READ 1a4\r\n');
	await accepted.open();
	accepted.accept();
	await accepted.next();
	accepted.reply({...statement.success('none'), rows: ['a'.repeat(64 * 1024 * 1024)], signature: '7.1'});
	accepted.close();
	await timers.setTimeout(deliveryMs);
	assert.ok(intake.budget.usedBytes > 0);
	for (let sweep = 0; sweep < 40; sweep++) {
		intake.sweep();
	}

	await timers.setTimeout(deliveryMs);
	// The account ends with the connection.
	assert.equal(intake.budget.usedBytes, 0);
});
