import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import * as msgpackr from 'msgpackr';
import * as ws from 'ws';
import * as clock from '../../core/clock.js';
import type * as errors from '../../core/errors.js';
import * as messages from '../../generated/messages.js';
import type * as types from '../../generated/types.js';
import * as connection from '../connection.js';
import * as links from '../links.js';
import * as socket from '../socket.js';

const timeoutMs = 200;
const request: types.Request = {
	sql: 'SELECT 1', session: 's', service: 'ledgers', tenant: 'cascade', class: '', kind: 'read', transaction: 'none', position: null, maximumAgeMs: 0, requestId: 'r', deadlineMs: 1000,
};
const answer: types.Answer = {
	kind: 'rows', columns: [], rows: [['1', null, new Uint8Array([1, 2])]], server: 'a',
};

/** Responds to requests after a delay and records the events. */
class FakeHandler extends connection.Handler {
	readonly received: string[] = [];
	leaving = false;
	readonly #name: string;
	readonly #responseMs: number;

	constructor(name: string, responseMs: number) {
		super();
		this.#name = name;
		this.#responseMs = responseMs;
	}

	override hello(): types.Hello {
		return {
			kind: 'hello', host: this.#name, place: 'a', address: this.#name, configurationVersion: 1, hostsVersion: 0, leaving: this.leaving, unreachable: [],
		};
	}

	override onHello(_peer: connection.Connection, hello: types.Hello): void {
		this.received.push(`hello ${hello.host} ${hello.leaving}`);
	}

	override async execute(): Promise<errors.Outcome<types.Answer>> {
		this.received.push('forward');
		await new clock.System().sleep(this.#responseMs);
		return Either.right(answer);
	}

	override endSession(_peer: connection.Connection, session: string): void {
		this.received.push(`end ${session}`);
	}

	override suspects(): errors.Outcome<boolean> {
		return Either.right(true);
	}

	override report(object: types.SharedObject): {version: number; text: string} {
		return {version: 7, text: object};
	}

	override onPrimaryNotice(): void {
		this.received.push('primary');
	}

	override onReleaseNotice(): void {
		this.received.push('release');
	}

	override onClosed(peer: connection.Connection): void {
		this.received.push(`closed ${peer.host}`);
	}

	override onUnreachable(host: string): void {
		this.received.push(`unreachable ${host}`);
	}
}

function open(host: string, handler: FakeHandler, warnings: string[] = []): links.Links {
	const time = new clock.System();
	const transport = new socket.Transport({
		clock: time,
		timeoutMs,
		isMessage: messages.validateMessage,
		warn(_message, {reason}) {
			warnings.push(String(reason));
		},
	});
	return new links.Links({
		host, clock: time, transport, handler, timeoutMs,
	});
}

async function pair(responseMs: number): Promise<{first: links.Links; second: links.Links; handlers: [FakeHandler, FakeHandler]; peer: connection.Connection}> {
	const handlers: [FakeHandler, FakeHandler] = [new FakeHandler('first', 0), new FakeHandler('second', responseMs)];
	const [first, second] = [open('first', handlers[0]), open('second', handlers[1])];
	const address = await second.listen('127.0.0.1:0');
	const peer = await first.connect({address});
	assert.ok(peer);
	return {
		first, second, handlers, peer,
	};
}

/** A peer that sends a valid hello message and is then controlled by the test. */
async function fakePeer(serve: (accepted: ws.WebSocket) => void): Promise<{address: string; server: ws.WebSocketServer}> {
	const server = new ws.WebSocketServer({port: 0, host: '127.0.0.1', autoPong: false});
	server.on('connection', accepted => {
		accepted.send(msgpackr.pack(new FakeHandler('impostor', 0).hello()));
		serve(accepted);
	});
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	const bound = server.address();
	return {address: `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`, server};
}

test.test('a forwarded request returns its complete answer, and the hello message is sent again only when it changes (guards against lost cells and needless traffic)', async () => {
	const {first, second, handlers, peer} = await pair(0);
	const outcome = await peer.request({kind: 'forward', request}, 1000);
	assert.ok(Either.isRight(outcome) && outcome.right.kind === 'answered');
	assert.deepEqual(structuredClone(outcome.right.answer), answer);
	first.sendHello();
	handlers[0].leaving = true;
	first.sendHello();
	await peer.request({kind: 'configuration-query', object: 'hosts'}, 1000);
	assert.deepEqual(handlers[1].received.filter(text => text.startsWith('hello')), ['hello first false', 'hello first true']);
	first.stop();
	second.stop();
});

test.test('a lost link fails written requests as outcome-unknown and unwritten ones as not-run (guards against repeated writes, and against needlessly unknown outcomes)', async () => {
	const {first, second, handlers, peer} = await pair(1000);
	const written = peer.request({kind: 'forward', request}, 5000);
	await new clock.System().sleep(50);
	// The last request waits until the socket reports the long frame as written, which happens only after the link closes.
	const long = peer.request({kind: 'forward', request: {...request, sql: 'x'.repeat(50_000_000)}}, 5000);
	const unwritten = peer.request({kind: 'forward', request}, 5000);
	peer.close();
	const kinds = await Promise.all([written, long, unwritten].map(async reply => {
		const outcome = await reply;
		return Either.isLeft(outcome) ? outcome.left.kind : 'answered';
	}));
	assert.deepEqual(kinds, ['outcome-unknown', 'outcome-unknown', 'not-run']);
	const late = await peer.request({kind: 'forward', request}, 5000);
	assert.ok(Either.isLeft(late) && late.left.kind === 'not-run');
	assert.ok(handlers[0].received.includes('closed second'));
	first.stop();
	second.stop();
});

test.test('a link to a peer that sends no pongs is closed in time (guards against requests that wait on an unresponsive link)', async () => {
	const {address, server} = await fakePeer(() => undefined);
	const warnings: string[] = [];
	const opened = open('first', new FakeHandler('first', 0), warnings);
	const peer = await opened.connect({address});
	assert.ok(peer);
	const started = performance.now();
	const outcome = await peer.request({kind: 'forward', request}, 5000);
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'outcome-unknown');
	assert.ok(performance.now() - started < 3 * timeoutMs);
	assert.deepEqual(warnings, [`no pong within ${timeoutMs} ms`]);
	opened.stop();
	server.close();
});

test.test('an invalid message closes the link and is logged (guards against acting on messages of an incompatible version or another program)', async () => {
	const {address, server} = await fakePeer(accepted => {
		accepted.once('message', () => {
			accepted.send(msgpackr.pack({kind: 'forward', id: 'one'}));
		});
	});
	const warnings: string[] = [];
	const handler = new FakeHandler('first', 0);
	const opened = open('first', handler, warnings);
	await opened.connect({address});
	await new clock.System().sleep(timeoutMs / 2);
	assert.deepEqual(warnings, ['the peer sent an invalid message']);
	assert.ok(handler.received.includes('closed impostor'));
	opened.stop();
	server.close();
});

test.test('two hosts that open links to each other at the same time keep one (guards against twice the pings)', async () => {
	const handlers: [FakeHandler, FakeHandler] = [new FakeHandler('first', 0), new FakeHandler('second', 0)];
	const [first, second] = [open('first', handlers[0]), open('second', handlers[1])];
	const addresses = [await first.listen('127.0.0.1:0'), await second.listen('127.0.0.1:0')];
	await Promise.all([first.connect({address: addresses[1]}), second.connect({address: addresses[0]})]);
	await new clock.System().sleep(3 * timeoutMs);
	assert.deepEqual(handlers[0].received.filter(text => text.startsWith('closed')), ['closed second']);
	assert.ok(first.find('second')?.isInitiator);
	assert.equal(second.find('first')?.isInitiator, false);
	first.stop();
	second.stop();
});

// Guards against a link that stays half open because nothing limits the time of its handshake.
test.test('a link is not opened to a peer that accepts the connection and sends nothing', {timeout: 5000}, async context => {
	const server = net.createServer();
	const accepted = events.EventEmitter.once(server, 'connection') as Promise<[net.Socket]>;
	server.listen(0, '127.0.0.1');
	await events.EventEmitter.once(server, 'listening');
	context.after(() => {
		server.close();
	});
	const opened = open('first', new FakeHandler('first', 0));
	const connecting = opened.connect({address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`});
	const [silent] = await accepted;
	const closed = events.EventEmitter.once(silent.resume(), 'close');
	assert.equal(await connecting, undefined);
	await closed;
	opened.stop();
});

/** Reports a configuration that is large enough to be compressed. */
class LargeReportHandler extends FakeHandler {
	override report(): {version: number; text: string} {
		return {version: 7, text: 'route '.repeat(80_000)};
	}
}

test.test('large messages arrive complete between small ones (guards against configurations that are truncated or saturate a slow link)', {timeout: 5000}, async () => {
	const near = open('first', new FakeHandler('first', 0), []);
	const far = open('second', new LargeReportHandler('second', 0), []);
	const address = await far.listen('127.0.0.1:0');
	const peer = await near.connect({address});
	assert.ok(peer);
	for (let count = 0; count < 3; count++) {
		const reported: errors.Outcome<connection.Reply> = await peer.request({kind: 'configuration-query', object: 'configuration'}, 2000);
		assert.ok(Either.isRight(reported) && reported.right.kind === 'configuration-report');
		assert.equal(reported.right.text.length, 480_000);
		const answered: errors.Outcome<connection.Reply> = await peer.request({kind: 'forward', request}, 2000);
		assert.ok(Either.isRight(answered));
	}

	near.stop();
	far.stop();
});

test.test('guards against an address of another host that can\'t be a URL and ends the process', async () => {
	const warnings: string[] = [];
	const first = open('first', new FakeHandler('first', 0), warnings);
	assert.equal(await first.connect({name: 'other', address: '127.0.0.1:70000'}), undefined);
	assert.match(warnings.join(' '), /127\.0\.0\.1:70000/v);
	first.stop();
});
