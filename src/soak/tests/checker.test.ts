import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as checkers from '../checker.js';
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
			id, text, kind: 'session', maxAgeMs: 100, sentAt: this.time.now(), values: new Map(), ownWrites: [], ...change,
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
	fixture.send('r1', 'READ 1', {kind: 'primary'});
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
