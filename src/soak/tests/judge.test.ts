import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as judges from '../judge.js';
import * as replicated from '../replicated.js';

/** A judge with one group whose first server leads. */
class Court {
	readonly time = new clock.Manual();
	readonly judge = new judges.Judge(this.time);
	readonly group = new replicated.Group('g', ['east', 'west', 'north'], this.time, this.judge);
	readonly leader = this.group.servers[0];
	readonly replica = this.group.servers[1];

	send(id: string, text: string, change: Partial<judges.Sent> = {}): void {
		this.judge.send({
			id, text, kind: 'session', ageMs: 100, sentAt: this.time.now(), values: new Map(), own: [], ...change,
		});
	}

	run(id: string, text: string, server = this.leader): string {
		return this.judge.ran(id, text, {server, values: new Map(), isWrite: text.startsWith('WRITE')});
	}

	/** A write that is in the leader's log and acknowledged. */
	write(id: string): void {
		this.send(id, 'WRITE 1 a');
		this.run(id, 'WRITE 1 a');
		this.leader.log.push({term: 1, writes: [{id, text: 'WRITE 1 a'}]});
		this.judge.end('g', [id], 'acknowledged');
	}
}

test.test('a run that keeps every promise has no fault', () => {
	const court = new Court();
	court.write('w1');
	court.send('r1', 'READ 1', {kind: 'primary'});
	const signature = court.run('r1', 'READ 1');
	court.judge.answered('r1', signature, [signature]);
	court.judge.conclude('g', court.leader.log);
	assert.deepEqual(court.judge.faults, []);
});

test.test('a read without an old or an own write is stale, and a young one of others may be missing', async () => {
	const court = new Court();
	court.write('w1');
	court.send('r1', 'READ 1');
	court.run('r1', 'READ 1', court.replica);
	assert.deepEqual(court.judge.faults, []);
	court.send('r2', 'READ 1', {own: ['w1']});
	court.run('r2', 'READ 1', court.replica);
	assert.match(court.judge.faults[0] ?? '', /^stale: g-1 ran r2/v);
	await court.time.advance(500);
	court.send('r3', 'READ 1');
	court.run('r3', 'READ 1', court.replica);
	assert.match(court.judge.faults[1] ?? '', /^stale: g-1 ran r3/v);
});

test.test('lost, doubled and refused writes are found in the last log', () => {
	const court = new Court();
	court.write('w1');
	court.write('w2');
	court.send('w3', 'WRITE 1 a');
	court.judge.end('g', ['w3'], 'not-kept');
	court.judge.conclude('g', [1, 2].map(() => ({term: 1, writes: [{id: 'w2', text: ''}, {id: 'w3', text: ''}]})));
	assert.deepEqual(court.judge.faults.map(text => text.split(':')[0]), ['lost', 'twice', 'twice', 'refused']);
});

test.test('statements that nobody sent, changed ones, foreign values and mixed answers are found', () => {
	const court = new Court();
	court.run('x', 'READ 1');
	court.send('r1', 'READ 1', {values: new Map([['v', '1']])});
	const signature = court.run('r1', 'READ 2');
	court.send('r2', 'READ 1');
	court.judge.answered('r2', signature, [signature]);
	assert.deepEqual(court.judge.faults.map(text => text.split(':')[0]), ['unasked', 'changed', 'values', 'mixed']);
});
