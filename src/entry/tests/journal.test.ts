import * as assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import * as stream from 'node:stream';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as clock from '../../core/clock.js';
import * as metrics from '../../host/metrics.js';
import * as activities from '../customers/activity.js';
import * as journals from '../journal.js';

type Line = Readonly<Record<string, string | number>>;

/** An output that takes nothing until it is released. */
class Blocked extends stream.Writable {
	readonly #chunks: string[] = [];
	#isBlocked = true;
	#resume: (() => void) | undefined;

	override _write(chunk: unknown, _encoding: string, done: () => void): void {
		this.#chunks.push(String(chunk));
		if (this.#isBlocked) {
			this.#resume = done;
		} else {
			done();
		}
	}

	/** Takes everything from now on and returns the lines. */
	async release(): Promise<Line[]> {
		this.#isBlocked = false;
		this.#resume?.();
		while (this.writableLength > 0) {
			await timers.setImmediate();
		}

		return this.#chunks.join('').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Line);
	}
}

type Setup = {readonly time: clock.Manual; readonly output: Blocked; readonly journal: journals.Journal};

async function start(): Promise<Setup> {
	const time = new clock.Manual();
	const output = new Blocked();
	const journal = new journals.Journal('info', 'entry-1', time, output);
	// The logger passes lines on from the next turn of the event loop.
	journal.record('started', {});
	await timers.setImmediate();
	return {time, output, journal};
}

function named(lines: readonly Line[], name: string): Line[] {
	return lines.filter(({message}) => message === name);
}

// Guards against a promotion of which no line is left, as in the users' third report of LOST: other lines had filled the
// output that its host could buffer.
test.test('lines about failovers are written though other lines have filled the buffer', async () => {
	const {output, journal} = await start();
	for (let index = 0; index < 4000; index++) {
		journal.record('server-changed', {service: 'ledgers', server: 'x'.repeat(100)});
	}

	const names = [
		'failover-started',
		'leader-found',
		'leader-lost',
		'leader-inquired',
		'promotion-claimed',
		'server-ordered',
		'promotion-ordered',
		'pause-renewed',
		'confirmations-suspended',
		'fence-breached',
		'in-sync-recorded',
		'failover-ended',
		'failover-decided',
	];
	for (const name of names) {
		journal.record(name, {service: 'ledgers'});
	}

	const lines = await output.release();
	assert.ok(named(lines, 'server-changed').length < 2000, 'the buffer was full');
	assert.deepEqual(names.filter(name => named(lines, name).length !== 1), []);
	assert.ok(Number(named(lines, 'failover-decided')[0].omitted) > 2000, 'the omitted lines are counted');
});

// Guards against the loss of the line with the whole choice behind the many steps of failed attempts.
test.test('the line of a whole failover is written though the steps of failovers have filled their reserve', async () => {
	const {output, journal} = await start();
	for (let index = 0; index < 6000; index++) {
		journal.record('server-ordered', {service: 'ledgers', answer: 'x'.repeat(100)});
	}

	journal.record('failover-decided', {service: 'ledgers', reason: 'silent', result: 'promoted'});
	const lines = await output.release();
	assert.ok(named(lines, 'server-ordered').length < 4000, 'the reserve was full');
	assert.equal(named(lines, 'failover-decided').length, 1);
});

// Guards against a host whose memory grows while nobody reads its output.
test.test('what is buffered for an output that takes nothing stays bounded', async () => {
	const {output, journal} = await start();
	for (let index = 0; index < 2000; index++) {
		journal.record('failover-decided', {service: 'ledgers', candidates: 'x'.repeat(1900)});
		journal.record('server-ordered', {service: 'ledgers', answer: 'x'.repeat(100)});
	}

	assert.ok(output.writableLength > 1_000_000);
	assert.ok(output.writableLength < 1_100_000, `${output.writableLength} bytes`);
	await output.release();
});

// Guards against refusals of one kind that hide the first line of another: of a promotion, callers saw `outcome-unknown`
// while the limited lines were all `busy`.
test.test('the first line of each reason and service in a second is written whatever was written before', async () => {
	const {output, journal} = await start();
	for (let index = 0; index < 500; index++) {
		journal.request('refused', `q${index}`, {service: 'ledgers', reason: `no free connection within ${index} ms`});
	}

	journal.request('refused', 'q500', {service: 'orders', reason: 'no free connection within 210 ms'});
	journal.request('outcome-unknown', 'q501', {service: 'ledgers', reason: 'a failover is in progress'});
	journal.request('outcome-unknown', 'q502', {service: 'ledgers', reason: 'a failover is in progress'});
	const lines = await output.release();
	assert.equal(lines.filter(({message, service}) => message === 'refused' && service === 'ledgers').length, 40);
	assert.deepEqual(lines.filter(({request}) => ['q500', 'q501', 'q502'].includes(String(request))).map(({request}) => request), ['q500', 'q501']);
});

// Guards against omitted lines of which nothing but their number is known.
test.test('the omitted lines of a second are summed up by reason when it is over', async () => {
	const {time, output, journal} = await start();
	for (let index = 0; index < 100; index++) {
		journal.request('refused', `q${index}`, {service: 'ledgers', reason: `no free connection within ${index} ms`});
		journal.request('read-redirected', `q${index}`, {service: 'orders', reason: 'lagging i-2a0e3a36'});
	}

	await time.advance(1000);
	journal.request('refused', 'last', {service: 'ledgers', reason: 'no leader is known'});
	const [summary, ...further] = named(await output.release(), 'requests-omitted');
	assert.deepEqual(further, []);
	assert.equal(summary.lines, 160);
	assert.equal(summary.reasons, '80 refused ledgers no free connection within N ms; 80 read-redirected orders lagging i-2a0e3a36');
});

// Guards against reasons that differ in every line, as error messages of servers may: they must not lift the limit.
test.test('lines about requests stay limited though each has a reason of its own', async () => {
	const {time, output, journal} = await start();
	for (let index = 0; index < 5000; index++) {
		journal.request('refused', `q${index}`, {service: 'ledgers', reason: `reason-x${index}x`});
	}

	await time.advance(1000);
	journal.record('stopped', {});
	const lines = await output.release();
	assert.equal(named(lines, 'refused').length, 104);
	const [summary] = named(lines, 'requests-omitted');
	assert.ok(Buffer.byteLength(JSON.stringify(summary)) < 2048);
	assert.equal(named(lines, 'stopped')[0].omitted, 4896);
});

test.test('failover attempts are counted by reason and result', async () => {
	const {output, journal} = await start();
	const target = new metrics.Metrics();
	journal.attach(target);
	journal.record('failover-decided', {reason: 'silent', result: 'promoted'});
	journal.record('failover-decided', {reason: 'silent', result: 'given up'});
	journal.record('failover-decided', {reason: 'silent', result: 'given up'});
	const text = await target.text();
	assert.match(text, /^sycamorering_failover_attempts\{reason="silent",result="promoted"\} 1$/mv);
	assert.match(text, /^sycamorering_failover_attempts\{reason="silent",result="given up"\} 2$/mv);
	await output.release();
});

// Guards against counts by customer that are lost because the metrics are loaded after callers were served.
test.test('counts by customer are metrics, also those from before the metrics were attached', async () => {
	const {journal} = await start();
	const activity = new activities.Activity(() => undefined);
	journal.observeCustomers(activity);
	activity.admitted('wind');
	activity.refused(undefined, 'unauthorized');
	const target = new metrics.Metrics();
	journal.attach(target);
	activity.opened('wind');
	const text = await target.text();
	assert.match(text, /^sycamorering_customer_operations\{customer="other"\} 1$/mv);
	assert.match(text, /^sycamorering_customer_sessions\{customer="other"\} 1$/mv);
	assert.match(text, /^sycamorering_customer_refusals\{customer="unknown",cause="unauthorized"\} 1$/mv);
});

test.test('guards against metrics that grow with each server that was ever seen', async () => {
	const {output, journal} = await start();
	const target = new metrics.Metrics();
	journal.attach(target);
	for (let index = 0; index < 3000; index++) {
		journal.attempted('ledgers', `server-${index}`, 'answered');
	}

	journal.attempted('ledgers', 'server-0', 'answered');
	journal.attempted('ledgers', 'server-0', 'busy');
	const text = await target.text();
	const lines = text.split('\n').filter(line => line.startsWith('sycamorering_server_attempts{'));
	assert.equal(lines.length, 2050);
	assert.ok(lines.includes('sycamorering_server_attempts{service="ledgers",server="server-0",result="answered"} 2'));
	assert.ok(lines.includes('sycamorering_server_attempts{service="other",server="other",result="answered"} 952'));
	assert.ok(lines.includes('sycamorering_server_attempts{service="other",server="other",result="busy"} 1'));
	await output.release();
});
