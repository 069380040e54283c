import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import process from 'node:process';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as Either from 'fp-ts/lib/Either.js';
import * as authorities from '../authority.js';
import * as clients from '../http.js';
import * as objects from '../objects.js';
import * as revisions from '../../entry/revision.js';

const testTimeoutMs = 5000;
const unaborted = new AbortController().signal;

/** `text` is sent instead of `body`, for numbers and nesting that JSON.stringify can't produce. */
type Reply = {readonly status: number; readonly body?: unknown; readonly text?: string; readonly era?: number};
type ReceivedCall = {readonly method: string; readonly path: string; readonly headers: http.IncomingHttpHeaders; readonly body: string};

/** Starts a server that responds with the result of `respond` and records the calls that it receives. */
async function serve(context: test.TestContext, respond: (call: ReceivedCall) => Reply | Promise<Reply>): Promise<{client: clients.Client; calls: ReceivedCall[]}> {
	const calls: ReceivedCall[] = [];
	const server = http.createServer(async (request, response) => {
		const chunks: Uint8Array[] = [];
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}

		const call = {
			method: request.method ?? '', path: request.url ?? '', headers: request.headers, body: chunks.map(chunk => new TextDecoder().decode(chunk)).join(''),
		};
		calls.push(call);
		const {status, body, text, era} = await respond(call);
		response.writeHead(status, {'content-type': 'application/json', ...(era === undefined ? {} : {'store-era': String(era)})});
		response.end(text ?? (body === undefined ? '' : JSON.stringify(body)));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const client = new clients.Client(`127.0.0.1:${(server.address() as net.AddressInfo).port}`);
	context.after(() => {
		client.close();
		server.close();
		server.closeAllConnections();
	});
	return {client, calls};
}

const server = {
	service: 'huvo11a', address: '10.128.0.9:8080', zone: 'puget-a', version: 'v1', slots: 2, state: 'draining', coldRemainingMs: 0, dbRole: 'replica', sequence: 4, born: 17,
};

function stored(name: string, spec: unknown): unknown {
	return {
		meta: {
			name, revision: 5, created: 1, finalizers: [], deleting: false,
		}, spec, status: null,
	};
}

test.test('a list is read over all pages, and entries with an invalid value are reported', {timeout: testTimeoutMs}, async context => {
	const {client, calls} = await serve(context, ({path}) => path.includes('after=')
		? {status: 200, body: {items: [stored('i-2', {...server, dbRole: 'queen'}), stored('i-3', 'gibberish')], more: false, storeRevision: 12}}
		: {status: 200, body: {items: [stored('i-1', server)], more: true, storeRevision: 11}});
	const outcome = await new objects.Objects(client).list('servers');
	assert.ok(Either.isRight(outcome));
	assert.deepEqual(calls.map(({path}) => path), ['/objects/servers', '/objects/servers?after=i-1']);
	assert.equal(outcome.right.revision, 11);
	assert.deepEqual(outcome.right.items.map(({name, value}) => [name, value?.state]), [['i-1', 'leaving'], ['i-2', undefined], ['i-3', undefined]]);
	assert.equal(outcome.right.items[0]?.value?.startedAt, 17);
	assert.notEqual(outcome.right.items[1]?.fault, '');
});

test.test('a configuration is decoded into the project\'s own types', {timeout: testTimeoutMs}, async context => {
	const spec = {
		version: 7,
		routes: [{
			name: 'r-1', databaseName: 'xapu', pathPrefix: '/', type: 'bounded_staleness', timeoutMs: 1200, targetLatencyMs: 500, priority: 2, service: 'huvo11a', maxAttempts: 2, maxStalenessMs: 1500,
		}],
		services: [{
			name: 'huvo11a', healthPath: '/health', maxConnections: 16, syncReplicas: 1,
		}],
		limits: {txIdleMs: 3000},
	};
	const {client} = await serve(context, () => ({status: 200, body: stored('main', spec)}));
	const outcome = await new objects.Objects(client).read('configuration', 'main');
	assert.ok(Either.isRight(outcome));
	assert.deepEqual(outcome.right?.value, {
		version: 7,
		routes: [{
			name: 'r-1', database: 'xapu', kind: 'aged', maximumAgeMs: 1500, statementTimeoutMs: 1200, targetMs: 500, priority: 2, service: 'huvo11a',
		}],
		databases: [{name: 'huvo11a', connectionLimit: 16, synchronousReplicas: 1}],
		idleTransactionMs: 3000,
	});
});

test.test('a watch reports changes, deleted objects and lost history', {timeout: testTimeoutMs}, async context => {
	const replies: Reply[] = [
		{status: 200, body: {events: [{object: stored('i-1', server), tombstone: false}, {object: stored('i-2', server), tombstone: true}], storeRevision: 9}},
		{status: 410},
		{status: 503},
	];
	const {client} = await serve(context, () => replies.shift() ?? {status: 500});
	const store = new objects.Objects(client);
	const changed = await store.watch('servers', 5, 100, unaborted);
	assert.ok(Either.isRight(changed));
	assert.deepEqual(changed.right.changes.map(({name, item}) => [name, item !== undefined]), [['i-1', true], ['i-2', false]]);
	const lost = await store.watch('servers', 9, 100, unaborted);
	assert.ok(Either.isRight(lost) && lost.right.isLost);
	const down = await store.watch('servers', 9, 100, unaborted);
	assert.ok(Either.isLeft(down));
	assert.equal(down.left.kind, 'store');
});

test.test('guards against a lower revision after the store was restored from a copy', {timeout: testTimeoutMs}, async context => {
	const replies: Reply[] = [
		{status: 200, body: {items: [], more: false, storeRevision: 21}, era: 1},
		{status: 200, body: {items: [stored('main', {})], more: false, storeRevision: 14}, era: 2},
	];
	const {client} = await serve(context, () => replies.shift() ?? {status: 500});
	const store = new objects.Objects(client);
	const [before, after] = [await store.list('configuration'), await store.list('configuration')];
	assert.ok(Either.isRight(before) && Either.isRight(after));
	assert.equal(before.right.revision, 21);
	assert.ok(after.right.revision > before.right.revision);
	assert.deepEqual(revisions.split(after.right.revision), {generation: 1, counter: 14});
	assert.deepEqual(revisions.split(after.right.items[0]?.revision ?? 0), {generation: 1, counter: 5});
});

test.test('guards against changes missed by a watch from a revision that the restored store has given out again', {timeout: testTimeoutMs}, async context => {
	const {client, calls} = await serve(context, () => ({status: 200, body: {events: [], storeRevision: 25}, era: 2}));
	const store = new objects.Objects(client);
	const first = await store.watch('configuration', 21, 100, unaborted);
	assert.ok(Either.isRight(first) && first.right.isLost);
	const second = await store.watch('configuration', 21, 100, unaborted);
	assert.ok(Either.isRight(second) && second.right.isLost);
	assert.equal(calls.length, 1);
	const current = revisions.combine({generation: 1, counter: 25});
	const third = await store.watch('configuration', current, 100, unaborted);
	assert.ok(Either.isRight(third) && !third.right.isLost);
	assert.equal(third.right.revision, current);
	assert.equal(calls[1]?.path, '/objects/config?watch=25&waitMs=100');
});

test.test('guards against changes of the time before a restoration, in a response that arrives late', {timeout: testTimeoutMs}, async context => {
	const {client} = await serve(context, () => ({status: 200, body: {events: [{object: stored('main', {})}], storeRevision: 30}, era: 1}));
	const outcome = await new objects.Objects(client).watch('configuration', revisions.combine({generation: 1, counter: 25}), 100, unaborted);
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'store');
});

test.test('guards against a watch that waits on while another call shows that the store was restored', {timeout: testTimeoutMs}, async context => {
	const {client} = await serve(context, async ({path}) => path.includes('watch=')
		? new Promise(() => {
			// The watch gets no response.
		})
		: {status: 404, era: 2});
	const store = new objects.Objects(client);
	const watch = store.watch('hosts', 21, 60_000, unaborted);
	await store.read('claims', 'ledgers');
	const outcome = await watch;
	assert.ok(Either.isRight(outcome) && outcome.right.isLost);
});

test.test('guards against calls that find no free connection because watches of a host that left the store still wait', {timeout: testTimeoutMs}, async context => {
	const {client} = await serve(context, async ({path}) => path.includes('watch=')
		? new Promise(() => {
			// The watch gets no response.
		})
		: {status: 200, body: {items: [], more: false, storeRevision: 21}});
	const store = new objects.Objects(client);
	const watches: Array<Promise<unknown>> = [];
	for (let times = 0; times < 20; times++) {
		const left = new AbortController();
		watches.push(store.watch('hosts', 21, 20_000, left.signal), store.watch('claims', 21, 20_000, left.signal));
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		left.abort();
	}

	const listed = await store.list('configuration');
	assert.ok(Either.isRight(listed));
	await Promise.all(watches);
	const refused = await store.watch('hosts', 21, 20_000, AbortSignal.abort());
	assert.ok(Either.isLeft(refused));
});

test.test('guards against an object replaced because it has the revision of a lost one', {timeout: testTimeoutMs}, async context => {
	const {client, calls} = await serve(context, () => ({status: 404, era: 2}));
	const store = new objects.Objects(client);
	await store.read('claims', 'ledgers');
	const outcome = await store.replace('claims', 'ledgers', {holder: 'a', nonce: 'm'}, 4);
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'conflict');
	assert.equal(calls.length, 1);
});

test.test('guards against a list whose pages come from before and after a restoration', {timeout: testTimeoutMs}, async context => {
	const {client} = await serve(context, ({path}) => path.includes('after=')
		? {status: 200, body: {items: [], more: false, storeRevision: 12}, era: 2}
		: {status: 200, body: {items: [stored('i-1', server)], more: true, storeRevision: 21}, era: 1});
	const outcome = await new objects.Objects(client).list('servers');
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'store');
});

test.test('a conditional update that loses the race is a conflict', {timeout: testTimeoutMs}, async context => {
	const {client, calls} = await serve(context, () => ({status: 409, body: stored('ledgers', {holder: 'b', nonce: 'n'})}));
	const outcome = await new objects.Objects(client).replace('claims', 'ledgers', {holder: 'a', nonce: 'm'}, 4);
	assert.ok(Either.isLeft(outcome));
	assert.equal(outcome.left.kind, 'conflict');
	assert.deepEqual(JSON.parse(calls[0]?.body ?? ''), {meta: {name: 'ledgers', revision: 4}, spec: {holder: 'a', nonce: 'm'}});
});

test.test('a promotion carries holder and token; a conflict is a refusal, any other status a failure', {timeout: testTimeoutMs}, async context => {
	const replies: Reply[] = [{status: 200, body: {}}, {status: 409}, {status: 429}];
	const {client, calls} = await serve(context, () => replies.shift() ?? {status: 500});
	const authority = new authorities.Authority(client);
	const request = {
		service: 'ledgers', server: 'i-1', holder: 'entry-1', token: 7,
	};
	assert.deepEqual(await authority.promote(request), Either.right('accepted'));
	assert.deepEqual(await authority.promote(request), Either.right('refused'));
	assert.ok(Either.isLeft(await authority.promote(request)));
	assert.equal(calls[0]?.headers['x-fencing-token'], '7');
	assert.equal(calls[0]?.headers['x-lease-holder'], 'entry-1');
	assert.deepEqual(JSON.parse(calls[0]?.body ?? ''), {service: 'ledgers', id: 'i-1'});
});

test.test('guards against a claim taken from another host because the first response of a restored store shows the restoration too late', {timeout: testTimeoutMs}, async context => {
	const {client} = await serve(context, ({method}) => method === 'PUT'
		? {status: 200, body: stored('ledgers', {holder: 'a', nonce: 'm'}), era: 2}
		: {status: 200, body: {items: [], more: false, storeRevision: 21}, era: 1});
	const store = new objects.Objects(client);
	await store.list('claims');
	const outcome = await store.replace('claims', 'ledgers', {holder: 'a', nonce: 'm'}, 20);
	assert.ok(Either.isLeft(outcome), JSON.stringify(outcome));
});

test.test('guards against a write that counts as stored although the store was restored before its response arrived', {timeout: testTimeoutMs}, async context => {
	let release = (): void => undefined;
	const restored = new Promise<void>(resolve => {
		release = resolve;
	});
	const {client} = await serve(context, async ({method}) => {
		if (method === 'GET') {
			return {status: 404, era: 2};
		}

		await restored;
		return {status: 201, body: stored('ledgers', {holder: 'a', nonce: 'm'}), era: 1};
	});
	const store = new objects.Objects(client);
	const created = store.create('claims', 'ledgers', {holder: 'a', nonce: 'm'});
	await store.read('hosts', 'entry-1');
	release();
	const outcome = await created;
	assert.ok(Either.isLeft(outcome), JSON.stringify(outcome));
});

/** Texts of objects that another writer may leave, most of which can't be read. */
const nestingDepth = 100_000;
const meta = '"meta":{"name":"i-x","revision":5}';
const oddObjects = [
	`{${meta},"spec":${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}}`,
	`{${meta},"spec":{"service":${'{"a":'.repeat(nestingDepth)}1${'}'.repeat(nestingDepth)}}}`,
	`{${meta},"spec":${JSON.stringify({...server, slots: 0}).replace('"slots":0', '"slots":1e400')}}`,
	`{${meta},"spec":${JSON.stringify({...server, address: '10.0.0.1:70000'})}}`,
	`{${meta},"spec":"\\ud800"}`,
	`{${meta}}`,
	'{"meta":{"name":"i-x","revision":1e300},"spec":{}}',
	'{"meta":{"name":"i-x","revision":-1},"spec":{}}',
	String.raw`{"meta":{"name":"\ud800","revision":5},"spec":{}}`,
	'{"meta":{"name":"","revision":5},"spec":{}}',
	'{"meta":{"name":7,"revision":5},"spec":{}}',
	'{"meta":null}',
	'{}',
	'null',
	'7',
	'[]',
	'"text"',
];

test.test('guards against a list that stops, or a process that ends, at one odd entry of another writer', {timeout: testTimeoutMs}, async context => {
	for (const odd of oddObjects) {
		const [first, last] = [JSON.stringify(stored('i-1', server)), JSON.stringify(stored('i-2', server))];
		const {client} = await serve(context, ({path}) => ({
			status: 200, text: path.includes('after=')
				? `{"items":[${last}],"more":false,"storeRevision":12}`
				: `{"items":[${first},${odd}],"more":true,"storeRevision":11}`,
		}));
		const outcome = await new objects.Objects(client).list('servers');
		assert.ok(Either.isRight(outcome), odd.slice(0, 80));
		const {items, unreadable} = outcome.right;
		assert.deepEqual(items.filter(({value}) => value !== undefined).map(({name}) => name), ['i-1', 'i-2']);
		assert.equal(items.filter(({fault}) => fault !== '').length + unreadable.length, 1, odd.slice(0, 80));
	}
});

test.test('guards against a watch that stops at one odd entry of another writer', {timeout: testTimeoutMs}, async context => {
	for (const odd of oddObjects) {
		const {client} = await serve(context, () => ({
			status: 200, text: `{"events":[{"object":${odd},"tombstone":false},{"object":${JSON.stringify(stored('i-1', server))}}],"storeRevision":12}`,
		}));
		const outcome = await new objects.Objects(client).watch('servers', 5, 100, unaborted);
		assert.ok(Either.isRight(outcome), odd.slice(0, 80));
		const {changes, unreadable} = outcome.right;
		assert.deepEqual(changes.filter(({item}) => item?.value !== undefined).map(({name}) => name), ['i-1']);
		assert.equal(changes.filter(({item}) => item !== undefined && item.fault !== '').length + unreadable.length, 1, odd.slice(0, 80));
	}
});

test.test('guards against a list without an end whose pages have no name to continue from', {timeout: testTimeoutMs}, async context => {
	const {client, calls} = await serve(context, () => ({status: 200, body: {items: [{meta: {name: 'i-1', revision: 3}}], more: true, storeRevision: 11}}));
	const outcome = await new objects.Objects(client).list('servers');
	assert.ok(Either.isLeft(outcome) && outcome.left.kind === 'store');
	assert.equal(calls.length, 2);
});

test.test('guards against an order that is sent after its timeout, when a process that was stopped runs again', {timeout: testTimeoutMs}, async context => {
	const {client, calls} = await serve(context, () => ({status: 200}));
	const called = client.call({
		method: 'POST', path: '/promotion', body: {}, timeoutMs: 50,
	});
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
	const end = performance.now() + 300;
	while (performance.now() < end) {
		// A blocked loop is what the test needs.
	}

	assert.ok(Either.isLeft(await called));
	await timers.setTimeout(100);
	assert.deepEqual(calls, []);
});
