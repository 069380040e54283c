import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as random from '../../core/random.js';
import * as platforms from '../platform.js';

type Body = {readonly storeRevision?: number; readonly events?: ReadonlyArray<{readonly object: {readonly spec: unknown}}>; readonly meta?: {readonly revision: number}; readonly spec?: unknown};
type Response = {readonly status: number; readonly era: string | undefined; readonly body: Body};

const hosts = 'sycamorering-hosts';
const claims = 'sycamorering-claims';

/** A stand-in with one host's address, and a client. */
class Fixture {
	static async start(): Promise<Fixture> {
		const fixture = new Fixture();
		fixture.#address = await fixture.platform.listen('entry-0');
		return fixture;
	}

	readonly time = new clock.System();
	readonly promoted: string[] = [];
	readonly platform = new platforms.Platform(this.time, new random.Seeded(1), (_service, server) => {
		this.promoted.push(server);
		return true;
	});

	#address = '';

	async call(method: string, path: string, body?: unknown, headers: http.OutgoingHttpHeaders = {}): Promise<Response> {
		return new Promise((resolve, reject) => {
			const request = http.request(`http://${this.#address}${path}`, {method, headers}, response => {
				const chunks: string[] = [];
				response.setEncoding('utf8').on('data', (chunk: string) => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					const text = chunks.join('');
					resolve({status: response.statusCode ?? 0, era: response.headers['store-era'] as string | undefined, body: text === '' ? {} : JSON.parse(text) as Body});
				});
			});
			request.on('error', reject);
			request.end(body === undefined ? undefined : JSON.stringify(body));
		});
	}

	async create(kind: string, name: string, spec: unknown): Promise<number> {
		const {body} = await this.call('POST', `/objects/${kind}`, {meta: {name}, spec});
		return body.meta?.revision ?? 0;
	}

	/** A time before which everything until now was written, and after which everything later. */
	async mark(): Promise<number> {
		await this.time.sleep(5);
		const at = this.time.now();
		await this.time.sleep(5);
		return at;
	}
}

async function withFixture(run: (fixture: Fixture) => Promise<void>): Promise<void> {
	const fixture = await Fixture.start();
	try {
		await run(fixture);
	} finally {
		fixture.platform.close();
	}
}

test.test('every response of the store has its era, also those that refuse a call', async () => {
	await withFixture(async fixture => {
		await fixture.create(claims, 'g', {holder: 'a'});
		fixture.platform.compact();
		const responses = [
			await fixture.call('GET', `/objects/${claims}`),
			await fixture.call('GET', `/objects/${claims}/none`),
			await fixture.call('POST', `/objects/${claims}`, {meta: {name: 'g'}, spec: {}}),
			await fixture.call('PUT', `/objects/${claims}/none`, {meta: {name: 'none', revision: 1}, spec: {}}),
			await fixture.call('GET', `/objects/${claims}?watch=0&waitMs=10`),
		];
		fixture.platform.state = 'refused';
		responses.push(await fixture.call('GET', `/objects/${claims}`));
		assert.deepEqual(responses.map(({status, era}) => [status, era]), [[200, '1'], [404, '1'], [409, '1'], [404, '1'], [410, '1'], [503, '1']]);
	});
});

test.test('a restore removes what hosts wrote since the copy, lowers the revision and raises the era', async () => {
	await withFixture(async fixture => {
		const kept = await fixture.create(claims, 'old', {holder: 'a'});
		const at = await fixture.mark();
		await fixture.call('PUT', `/objects/${claims}/old`, {meta: {name: 'old', revision: kept}, spec: {holder: 'b'}});
		await fixture.create(claims, 'new', {holder: 'a'});
		await fixture.create(hosts, 'entry-0', {place: 'p'});
		await fixture.platform.restore(at);
		const paths = [`${claims}/old`, `${claims}/new`, `${hosts}/entry-0`];
		const [old, added, announced] = await Promise.all(paths.map(async path => fixture.call('GET', `/objects/${path}`)));
		assert.deepEqual([old.body.spec, old.body.meta?.revision, old.era], [{holder: 'a'}, kept, '2']);
		assert.deepEqual([added.status, announced.status], [404, 404]);
		// A revision from before the restore is given out again.
		assert.equal(await fixture.create(claims, 'new', {holder: 'c'}), kept + 1);
	});
});

test.test('the operator and the servers repeat their writes after a restore, with the values of the loss and new revisions', async () => {
	await withFixture(async fixture => {
		const {platform} = fixture;
		platform.put('config', 'main', {version: 1});
		platform.put('servers', 'removed', {state: 'ready'});
		const at = await fixture.mark();
		platform.put('config', 'main', {version: 2});
		platform.remove('servers', 'removed');
		platform.put('servers', 'added', {state: 'ready'});
		const restored = platform.restore(at);
		const before = await fixture.call('GET', '/objects/config/main');
		assert.deepEqual(before.body.spec, {version: 1});
		platform.put('config', 'main', {version: 3});
		await restored;
		const [configuration, removed, added] = await Promise.all(['config/main', 'servers/removed', 'servers/added'].map(async path => fixture.call('GET', `/objects/${path}`)));
		assert.deepEqual([configuration.body.spec, removed.status, added.body.spec], [{version: 3}, 404, {state: 'ready'}]);
		assert.ok((configuration.body.meta?.revision ?? 0) > (before.body.meta?.revision ?? 0));
	});
});

test.test('after a restore, waiting watches are cut, a watch from a lost revision fails, and one from a kept revision sees the new history only', async () => {
	await withFixture(async fixture => {
		await fixture.create(claims, 'a', {holder: 'a'});
		const at = await fixture.mark();
		const lost = await fixture.create(claims, 'b', {holder: 'lost'});
		const waiting = fixture.call('GET', `/objects/${claims}?watch=${lost}&waitMs=20000`);
		const cut = assert.rejects(waiting);
		await fixture.time.sleep(50);
		await fixture.platform.restore(at);
		await cut;
		const refused = await fixture.call('GET', `/objects/${claims}?watch=${lost}&waitMs=10`);
		assert.equal(refused.status, 410);
		await fixture.create(claims, 'c', {holder: 'new'});
		// The host that watches from the reused revision misses the change that has it now.
		const missed = await fixture.call('GET', `/objects/${claims}?watch=${lost}&waitMs=10`);
		assert.deepEqual([missed.status, missed.body.events], [200, []]);
		const {body} = await fixture.call('GET', `/objects/${claims}?watch=${lost - 1}&waitMs=10`);
		assert.deepEqual(body.events?.map(({object}) => object.spec), [{holder: 'new'}]);
	});
});

test.test('a restore can reach behind a compaction, and a second one behind the first', async () => {
	await withFixture(async fixture => {
		const {platform} = fixture;
		platform.put('config', 'main', {version: 1});
		const first = await fixture.mark();
		platform.put('config', 'main', {version: 2});
		platform.compact();
		await platform.restore(first);
		const second = platform.restore(first);
		const {body, era} = await fixture.call('GET', '/objects/config/main');
		assert.deepEqual([body.spec, era], [{version: 1}, '3']);
		await second;
		const repeated = await fixture.call('GET', '/objects/config/main');
		assert.deepEqual(repeated.body.spec, {version: 2});
	});
});

test.test('the authority remembers fencing tokens over a restore', async () => {
	await withFixture(async fixture => {
		const at = await fixture.mark();
		const order = async (token: number): Promise<Response> => fixture.call('POST', '/promotion', {service: 'g', id: 'g-1'}, {'x-fencing-token': token});
		const accepted = await order(7);
		await fixture.platform.restore(at);
		const refused = await order(6);
		assert.deepEqual([accepted.status, refused.status, refused.era], [200, 409, undefined]);
	});
});

test.test('an order without a response is carried out later, unless a higher fencing token was seen meanwhile; a refused order is not', async () => {
	await withFixture(async fixture => {
		const {platform} = fixture;
		const order = async (id: string, token: number): Promise<Response> => fixture.call('POST', '/promotion', {service: 'g', id}, {'x-fencing-token': token});
		platform.promotions = 'unanswered';
		platform.orderDelayMs = 100;
		const executed = assert.rejects(order('g-1', 3));
		await executed;
		const overtaken = assert.rejects(order('g-2', 4));
		await fixture.time.sleep(30);
		platform.promotions = 'refused';
		const refused = await order('g-1', 9);
		platform.promotions = 'well';
		const accepted = await order('g-0', 5);
		await overtaken;
		assert.deepEqual([refused.status, accepted.status], [503, 200]);
		assert.deepEqual(fixture.promoted, ['g-1', 'g-0']);
	});
});
