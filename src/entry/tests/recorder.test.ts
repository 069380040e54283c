import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as Either from 'fp-ts/lib/Either.js';
import type * as types from '../../generated/types.js';
import * as random from '../../core/random.js';
import * as recorder from '../recorder.js';
import * as fixture from './fixture.js';

/** A group whose in-sync set is kept in its store, with the servers and failover of a fixture. */
class Setup extends fixture.Fixture {
	revision = 0;

	constructor(stored?: types.InSyncSet) {
		super();
		if (stored) {
			this.store.put('in-sync', 'ledgers', stored);
		}
	}

	/** Starts the group without a set, then the recorder, which reads it from the store. */
	async startRecorder(servers: readonly string[], startedAt: Readonly<Record<string, number>> = {}): Promise<void> {
		this.group.resize({softLimit: 4, hardLimit: 4});
		for (const name of servers) {
			this.group.register(this.cluster.registration(name, {startedAt: startedAt[name] ?? 1}));
		}

		const record = new recorder.Recorder({
			store: this.store, clock: this.time, random: new random.Seeded(3), decisions: this.decisions, revision: () => this.revision,
		});
		void record.run(this.group, this.stopped.signal);
		void this.group.run(this.stopped.signal);
		void this.failover.run(this.stopped.signal);
		void this.touch();
		await this.time.advance(4000);
	}

	async touch(): Promise<void> {
		while (!this.stopped.signal.aborted) {
			this.group.touch();
			await this.time.sleep(1000, this.stopped.signal);
		}
	}

	async stored(): Promise<string> {
		const found = await this.store.read('in-sync', 'ledgers');
		assert.ok(Either.isRight(found));
		return (found.right?.value?.servers ?? []).map(({id, startedAt}) => `${id}@${startedAt}`).join(' ');
	}
}

function set(...servers: readonly string[]): types.InSyncSet {
	return {
		servers: servers.map(text => {
			const [id, startedAt] = text.split('@');
			return {id, startedAt: Number(startedAt ?? 1)};
		}),
	};
}

test.test('the set in the store follows the servers that join and leave', async () => {
	const setup = new Setup();
	await setup.startRecorder(['a', 'b']);
	assert.equal(await setup.stored(), 'a@1 b@1');
	setup.group.register(setup.cluster.registration('c', {startedAt: 60_000}));
	await setup.time.advance(3000);
	assert.equal(await setup.stored(), 'a@1 b@1 c@60000');
	setup.cluster.get('b').isUnresponsive = true;
	setup.group.markMissing('b');
	await setup.time.advance(5000);
	assert.equal(await setup.stored(), 'a@1 c@60000');
	await setup.stop();
});

// Guards against a service without primary for ever: every host restarts, and the primary is lost, after a server was replaced.
test.test('a host that has just started promotes a server that joined later than the others', async () => {
	const setup = new Setup(set('a', 'b', 'c@60000'));
	setup.cluster.get('a').isUnresponsive = true;
	await setup.startRecorder(['a', 'b', 'c'], {c: 60_000});
	await setup.time.advance(3000);
	assert.ok(setup.group.leader, 'no leader');
	await setup.stop();
});

test.test('the same host promotes a server once the registration of the lost primary has expired', async () => {
	const setup = new Setup(set('a', 'b', 'c@60000'));
	setup.cluster.get('a').isUnresponsive = true;
	await setup.startRecorder(['b', 'c'], {c: 60_000});
	await setup.time.advance(3000);
	assert.ok(setup.group.leader, 'no leader');
	await setup.stop();
});

// Guards against the loss of a commit that only a server has which disappeared before this host started.
test.test('a host that has just started promotes no server while another one of the set is missing besides the primary', async () => {
	const setup = new Setup(set('a', 'b', 'c'));
	setup.cluster.get('a').isUnresponsive = true;
	await setup.startRecorder(['a', 'c']);
	await setup.time.advance(5000);
	assert.deepEqual(setup.authority.requests, []);
	setup.group.register(setup.cluster.registration('b'));
	await setup.time.advance(5000);
	assert.ok(setup.group.leader, 'no leader after the server has returned');
	await setup.stop();
});

// Guards against the promotion of a server that started again without its log just before this host started.
test.test('a host that has just started does not count a new incarnation as in sync', async () => {
	const setup = new Setup(set('a', 'b', 'c'));
	setup.cluster.get('a').isUnresponsive = true;
	await setup.startRecorder(['a', 'b', 'c'], {c: 2});
	await setup.time.advance(5000);
	assert.deepEqual(setup.authority.requests, []);
	await setup.stop();
});

test.test('a server of the set that this host has never seen is dropped once all others were compared with the leader', async () => {
	const setup = new Setup(set('a', 'b', 'c', 'd'));
	await setup.startRecorder(['a', 'b', 'c']);
	assert.equal(await setup.stored(), 'a@1 b@1 c@1');
	await setup.stop();
});

test.test('a server that has left stays in the set while another one may lack its commits', async () => {
	const setup = new Setup();
	await setup.startRecorder(['a', 'b', 'c']);
	setup.cluster.get('c').isReplicationCut = true;
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(500);
	setup.cluster.get('b').isUnresponsive = true;
	setup.group.markMissing('b');
	await setup.time.advance(6000);
	assert.equal(await setup.stored(), 'a@1 b@1 c@1');
	setup.cluster.get('c').isReplicationCut = false;
	setup.cluster.commit(setup.cluster.get('a'));
	await setup.time.advance(3000);
	assert.equal(await setup.stored(), 'a@1 c@1');
	await setup.stop();
});

// Guards against a set without the only server that may have had a commit, after that one started again without its log.
test.test('a server that has started again stays in the set while another one may lack its commits', async () => {
	const setup = new Setup();
	await setup.startRecorder(['a', 'b', 'c']);
	const [a, b, c] = setup.cluster.servers;
	c.isReplicationCut = true;
	assert.equal(setup.cluster.commit(a), true);
	await setup.time.advance(500);
	b.index = 0;
	b.isReplicationCut = true;
	setup.group.register(setup.cluster.registration('b', {startedAt: 60_000}));
	await setup.time.advance(6000);
	assert.equal(await setup.stored(), 'a@1 b@1 c@1');
	c.isReplicationCut = false;
	setup.cluster.commit(a);
	await setup.time.advance(3000);
	assert.equal(await setup.stored(), 'a@1 c@1');
	await setup.stop();
});

test.test('the set is written again after the store was restored from a copy that lacks it', async () => {
	const setup = new Setup();
	setup.store.copy();
	await setup.startRecorder(['a', 'b', 'c']);
	setup.store.restore();
	assert.equal(await setup.stored(), '');
	setup.revision = setup.store.put('hosts', 'entry-9', undefined).revision;
	await setup.time.advance(3000);
	assert.equal(await setup.stored(), 'a@1 b@1 c@1');
	await setup.stop();
});

test.test('a set that cannot be read is replaced, and no promotion waits for it', async () => {
	const setup = new Setup();
	setup.store.put('in-sync', 'ledgers', undefined, 'value must be object');
	await setup.startRecorder(['a', 'b', 'c']);
	assert.equal(await setup.stored(), 'a@1 b@1 c@1');
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.notEqual(setup.group.leader?.id, 'a');
	await setup.stop();
});

test.test('no server is promoted before the set was read', async () => {
	const setup = new Setup(set('a', 'b', 'c'));
	setup.store.state = 'down';
	await setup.startRecorder(['a', 'b', 'c']);
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	assert.equal(setup.group.isInSyncLoaded, false);
	setup.store.state = 'well';
	await setup.time.advance(4000);
	assert.notEqual(setup.group.leader?.id, 'a');
	await setup.stop();
});
