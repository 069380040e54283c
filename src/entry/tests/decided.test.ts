import * as assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import * as test from 'node:test';
import * as random from '../../core/random.js';
import * as decisions from '../decisions.js';
import * as failovers from '../failover.js';
import * as fleets from './fake-fleet.js';
import * as fixture from './fixture.js';

/** The lines of all hosts with a name, without time and host. */
function lines(fleet: fleets.Fleet, name: string): decisions.Fields[] {
	return fleet.journal.flatMap(entry => {
		const match = /^\d+ \S+ (?<found>\S+) (?<fields>.*)$/v.exec(entry);
		return match?.groups?.found === name ? [JSON.parse(match.groups.fields) as decisions.Fields] : [];
	});
}

/** Writes at all hosts for some time. */
async function write(fleet: fleets.Fleet, forMs: number): Promise<void> {
	for (let waitedMs = 0; waitedMs < forMs; waitedMs += 10) {
		fleet.write(fleet.hosts[(waitedMs / 10) % 3]);
		await fleet.time.advance(10);
	}
}

function only(fields: readonly decisions.Fields[]): decisions.Fields {
	assert.equal(fields.length, 1, JSON.stringify(fields));
	return fields[0];
}

// Guards against a promotion whose choice no line holds, as in the users' third report of LOST.
test.test('the line of a promotion after a step-down holds the answer of the old leader and what the target had to have', async () => {
	const fleet = new fleets.Fleet();
	await fleet.start();
	await write(fleet, 300);
	fleet.announceLeaving('a');
	await write(fleet, 3000);
	const line = only(lines(fleet, 'failover-decided').filter(({result}) => result === 'promoted'));
	assert.equal(line.reason, 'leaving');
	assert.equal(line.leader, 'a');
	assert.equal(line.leaderTerm, 1);
	assert.equal(line.term, 2);
	assert.match(String(line.stepDown), /^a direct replica 1 1:\d+$/v);
	assert.equal(line.required, String(line.stepDown).split(' ').at(-1));
	assert.match(String(line.candidates), /\bb replica 1 1:\d+ \d+ms/v);
	assert.match(String(line.candidates), /\bc replica 1 1:\d+ \d+ms/v);
	assert.ok(String(line.candidates).includes(`${line.target} replica 1 ${line.targetPosition} `), 'the answer by which the target was chosen is listed');
	assert.equal(line.fence, 'stepped down');
	assert.equal(line.claim, 'stored');
	assert.equal(only(lines(fleet, 'promotion-claimed').filter(({token}) => token === line.token)).how, 'stored');
	assert.match(String(line.confirmed), /^1:\d+$/v);
	assert.match(String(line.orders), /^accepted \d+ms$/v);
	assert.equal(line.leads, line.target);
	assert.match(String(line.steps), /^found \d+, claimed \d+, stepped-down \d+, chosen \d+, ordered \d+, accepted \d+$/v);
	await fleet.stop();
});

// Guards against a line without the fence: hypothesis 3 of the incident turns on who reported and what was paused.
test.test('the line of a promotion without the old leader holds what the hosts reported and which servers were paused', async () => {
	const fleet = new fleets.Fleet();
	await fleet.start();
	await write(fleet, 300);
	fleet.cluster.get('a').isUnresponsive = true;
	await write(fleet, 4000);
	const line = only(lines(fleet, 'failover-decided').filter(({result}) => result === 'promoted'));
	assert.equal(line.reason, 'silent');
	assert.equal(line.hosts, 'report 2/2, suspend 2/2');
	assert.equal(line.fence, 'replicas paused');
	assert.equal(line.paused, line.target === 'b' ? 'c' : 'b');
	assert.match(String(line.candidates), /replica 1 1:\d+ held 2 \d+ms/v);
	assert.match(String(line.required), /^1:\d+$/v);
	assert.match(String(line.confirmed), /^1:\d+$/v);
	await fleet.stop();
});

// Guards against attempts that leave no line: one for each, also if it was given up, with the servers that did not answer.
test.test('each attempt writes one line, also those that are given up', async () => {
	const fleet = new fleets.Fleet();
	await fleet.start();
	await write(fleet, 300);
	fleet.cluster.get('a').isUnresponsive = true;
	fleet.cluster.get('b').isUnresponsive = true;
	await write(fleet, 8000);
	const decided = lines(fleet, 'failover-decided');
	assert.ok(decided.length > 2);
	assert.equal(decided.length, lines(fleet, 'failover-ended').length);
	for (const line of decided) {
		assert.equal(line.result, 'given up');
		assert.match(String(line.failure), /b may hold acknowledged commits/v);
		assert.match(String(line.unanswered), /^b /v);
		assert.match(String(line.candidates), /^c replica 1 /v);
		assert.equal(line.target, '');
		assert.ok(Buffer.byteLength(JSON.stringify(line)) < 2048);
	}

	await fleet.stop();
});

/** Keeps the lines of whole attempts. */
class Recorder extends decisions.Silent {
	readonly lines: decisions.Fields[] = [];

	override record(name = '', fields: decisions.Fields = {}): void {
		if (name === 'failover-decided') {
			this.lines.push(fields);
		}
	}
}

// Guards against a line that is missing because the attempt ended by an unexpected error.
test.test('an attempt that an unexpected error ends writes its line', async () => {
	const setup = new fixture.Fixture();
	const recorder = new Recorder();
	setup.authority.promote = async () => {
		throw new Error('unexpected');
	};

	const run = new failovers.Failover({
		...setup, host: 'entry-1', clock: setup.time, random: new random.Seeded(2), hosts: new fixture.NoHosts(), decisions: recorder,
	}).run(setup.stopped.signal);
	const ended = assert.rejects(run, /unexpected/v);
	await setup.start();
	await setup.time.advance(4000);
	setup.cluster.get('a').isUnresponsive = true;
	await setup.time.advance(3000);
	await ended;
	const line = only(recorder.lines);
	assert.equal(line.result, 'failed');
	assert.notEqual(line.target, '');
	await setup.stop();
});
