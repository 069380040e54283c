import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as checkers from '../checker.js';
import * as configurations from '../configurations.js';
import * as contacts from '../contact.js';
import * as failovers from '../failovers.js';
import * as replicated from '../replicated.js';

/** A checker with one group whose first server is the primary. */
class Fixture {
	readonly time = new clock.Manual();
	readonly checker = new checkers.Checker(this.time);
	readonly group = new replicated.Group('g', ['east', 'west', 'north'], this.time, this.checker);
	readonly primary = this.group.servers[0];
	readonly replica = this.group.servers[1];

	send(id: string, text: string, change: Partial<checkers.Request> = {}): void {
		this.checker.recordRequest({
			id, text, guarantee: () => ({maxAgeMs: 100, includesOwn: true}), sentAt: this.time.now(), values: new Map(), ownWrites: [], ...change,
		});
	}

	run(id: string, text: string, server = this.primary): string {
		return this.checker.recordExecution(id, text, {server, values: new Map(), isWrite: text.startsWith('WRITE')});
	}

	/** Executes a write that is in the primary's log and acknowledged. */
	write(id: string): void {
		this.send(id, 'WRITE 1 a');
		this.run(id, 'WRITE 1 a');
		this.primary.log.push({term: 1, writes: [{id, text: 'WRITE 1 a'}]});
		this.checker.recordOutcome('g', [id], 'acknowledged');
	}
}

test.test('a run without violations reports none', () => {
	const fixture = new Fixture();
	fixture.write('w1');
	fixture.send('r1', 'READ 1', {guarantee: () => ({maxAgeMs: 0, includesOwn: true})});
	const signature = fixture.run('r1', 'READ 1');
	fixture.checker.checkResponse('r1', signature, [signature]);
	fixture.checker.checkFinalLog('g', fixture.primary.log);
	assert.deepEqual(fixture.checker.violations, []);
});

test.test('a read that misses an old write or one of its session is stale; a recent write of another session may be missing', async () => {
	const fixture = new Fixture();
	fixture.write('w1');
	fixture.send('r1', 'READ 1');
	fixture.run('r1', 'READ 1', fixture.replica);
	assert.deepEqual(fixture.checker.violations, []);
	fixture.send('r2', 'READ 1', {ownWrites: ['w1']});
	fixture.run('r2', 'READ 1', fixture.replica);
	assert.match(fixture.checker.violations[0] ?? '', /^stale: g-1 ran r2/v);
	await fixture.time.advance(500);
	fixture.send('r3', 'READ 1');
	fixture.run('r3', 'READ 1', fixture.replica);
	assert.match(fixture.checker.violations[1] ?? '', /^stale: g-1 ran r3/v);
});

test.test('lost writes, writes applied twice and refused writes that were applied are found in the final log', () => {
	const fixture = new Fixture();
	fixture.write('w1');
	fixture.write('w2');
	fixture.send('w3', 'WRITE 1 a');
	fixture.checker.recordOutcome('g', ['w3'], 'not-kept');
	fixture.checker.checkFinalLog('g', [1, 2].map(() => ({term: 1, writes: [{id: 'w2', text: ''}, {id: 'w3', text: ''}]})));
	assert.deepEqual(fixture.checker.violations.map(text => text.split(':')[0]), ['lost', 'twice', 'twice', 'refused']);
});

test.test('statements that no caller sent, changed statements, wrong session variables and mixed-up responses are found', () => {
	const fixture = new Fixture();
	fixture.run('x', 'READ 1');
	fixture.send('r1', 'READ 1', {values: new Map([['v', '1']])});
	const signature = fixture.run('r1', 'READ 2');
	fixture.send('r2', 'READ 1');
	fixture.checker.checkResponse('r2', signature, [signature]);
	assert.deepEqual(fixture.checker.violations.map(text => text.split(':')[0]), ['unasked', 'changed', 'values', 'mixed']);
});

/** The check of configurations, with the first configuration acknowledged. */
class ConfigurationFixture {
	readonly time = new clock.Manual();
	readonly contact = new contacts.Contact(this.time);
	readonly checked = new configurations.Configurations(this.time, this.contact);

	constructor() {
		this.checked.acknowledge();
	}

	/** A session at process `pid` of host 0. */
	ask(number: number, answer: configurations.Answer, pid = 1): void {
		this.checked.request({host: 0, pid}, number)(answer);
	}

	get causes(): string[] {
		return this.checked.violations.map(text => text.split(':')[0]);
	}
}

test.test('a host may answer by the old or the new configuration within the bound, and only by the new one after it', async () => {
	const fixture = new ConfigurationFixture();
	fixture.ask(0, 'known');
	await fixture.time.advance(10_000);
	fixture.checked.acknowledge();
	fixture.ask(1, 'unknown');
	fixture.ask(0, 'known');
	await fixture.time.advance(configurations.configurationMs);
	fixture.ask(1, 'unknown');
	assert.deepEqual(fixture.causes, []);
	await fixture.time.advance(1);
	fixture.ask(1, 'unknown');
	fixture.ask(0, 'known');
	assert.deepEqual(fixture.causes, ['outdated', 'outdated']);
	fixture.ask(1, 'known');
	fixture.ask(0, 'unknown');
	assert.equal(fixture.causes.length, 2);
});

test.test('a host is not held to the bound during a disturbance of the store or of its own and shortly after, but never to return to an older configuration', async () => {
	for (const scope of ['store', 'hosts', 'host 0'] as const) {
		const fixture = new ConfigurationFixture();
		fixture.contact.begin([scope]);
		await fixture.time.advance(10_000);
		fixture.ask(0, 'unknown');
		fixture.contact.end([scope]);
		await fixture.time.advance(configurations.contactMs - 1);
		fixture.ask(0, 'unknown');
		assert.deepEqual(fixture.causes, []);
		await fixture.time.advance(1);
		fixture.ask(0, 'unknown');
		assert.deepEqual(fixture.causes, ['outdated']);
	}

	const fixture = new ConfigurationFixture();
	fixture.contact.begin(['store']);
	fixture.checked.acknowledge();
	fixture.ask(1, 'known');
	fixture.ask(0, 'known');
	assert.deepEqual(fixture.causes, ['reverted']);
	fixture.ask(1, 'unknown');
	assert.deepEqual(fixture.causes, ['reverted', 'reverted']);
	fixture.ask(0, 'known', 2);
	assert.equal(fixture.causes.length, 2, 'another process may have the older configuration');
});

test.test('a host that replaced a configuration must not return to it, although no answer showed its successor', () => {
	const fixture = new ConfigurationFixture();
	fixture.ask(0, 'known');
	fixture.checked.acknowledge();
	fixture.ask(0, 'unknown');
	assert.deepEqual(fixture.causes, []);
	fixture.ask(0, 'known');
	assert.deepEqual(fixture.causes, ['reverted']);
});

/** The check of failovers, with one group whose first server is lost. */
class FailoverFixture extends Fixture {
	readonly contact = new contacts.Contact(this.time);
	readonly checked = new failovers.Failovers({clock: this.time, contact: this.contact, lastAcknowledgedAt: group => this.checker.lastAcknowledgedAt(group)});

	constructor() {
		super();
		this.primary.isUnresponsive = true;
		this.update();
	}

	update(): void {
		this.checked.update(this.group, ['store']);
	}

	promote(): void {
		this.primary.role = 'replica';
		this.replica.role = 'primary';
		this.update();
	}
}

test.test('a lost primary that is not replaced in time is found; disturbances of the store extend the time', async () => {
	const fixture = new FailoverFixture();
	await fixture.time.advance(5000);
	fixture.contact.begin(['store']);
	await fixture.time.advance(failovers.failoverMs);
	fixture.update();
	fixture.contact.end(['store']);
	await fixture.time.advance(failovers.failoverMs);
	fixture.update();
	assert.equal(fixture.checked.isOverdue('g'), false);
	await fixture.time.advance(1);
	fixture.update();
	fixture.update();
	assert.equal(fixture.checked.isOverdue('g'), true);
	assert.deepEqual(fixture.checked.violations.map(text => text.split(':')[0]), ['failover']);
});

test.test('a new primary ends a loss only once a write is acknowledged at it', async () => {
	const fixture = new FailoverFixture();
	fixture.write('w1');
	await fixture.time.advance(1);
	fixture.promote();
	await fixture.time.advance(failovers.failoverMs);
	fixture.update();
	assert.equal(fixture.checked.isOverdue('g'), true);

	const served = new FailoverFixture();
	served.promote();
	await served.time.advance(1);
	served.write('w1');
	served.update();
	await served.time.advance(failovers.failoverMs);
	served.update();
	assert.deepEqual(served.checked.violations, []);
});

test.test('the loss of the next primary counts anew, and a primary that returns by itself ends the loss', async () => {
	const fixture = new FailoverFixture();
	await fixture.time.advance(failovers.failoverMs);
	fixture.primary.isUnresponsive = false;
	fixture.replica.isUnresponsive = true;
	fixture.promote();
	await fixture.time.advance(failovers.failoverMs);
	fixture.update();
	assert.deepEqual(fixture.checked.violations, []);
	fixture.replica.isUnresponsive = false;
	fixture.update();
	await fixture.time.advance(failovers.failoverMs);
	fixture.update();
	assert.deepEqual(fixture.checked.violations, []);
});
