import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as configurations from '../configurations.js';
import * as contacts from '../contact.js';
import * as requests from '../unanswered.js';

const graceMs = 3000;
const timeoutMs = 1500;
const scopes = ['store', 'hosts', 'server 0', 'host 0'] as const;

/** The check of requests at host 0, after a time without disturbances. */
class Fixture {
	readonly time = new clock.Manual();
	readonly contact = new contacts.Contact(this.time);
	readonly checked = new requests.Unanswered({clock: this.time, unplanned: this.contact, graceMs});
	#count = 0;

	/** Sends a request whose connection ends after `ageMs`, and returns its id. */
	async cut(ageMs: number, host = 0): Promise<string> {
		this.#count++;
		const request = {
			id: `r${this.#count}`, host, sentAt: this.time.now(), timeoutMs, scopes,
		};
		this.checked.send(request);
		await this.time.advance(ageMs);
		this.checked.end(request, this.time.now());
		return request.id;
	}

	/** Sends a request that is answered. */
	serve(): void {
		this.checked.send({
			id: 'served', host: 0, sentAt: this.time.now(), timeoutMs, scopes,
		});
	}
}

test.test('a request that a terminating host has read and not answered is found, whether a server received it or it is older than the slack', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	await fixture.cut(requests.lossSlackMs);
	assert.deepEqual(fixture.checked.violations, [], 'the host may not have read it');
	await fixture.cut(requests.lossSlackMs + 1);
	assert.match(fixture.checked.violations[0], /^unanswered: the connection of r2 to host 0 ended 201 ms .* no server/v);
	fixture.checked.arrive(await fixture.cut(1));
	assert.match(fixture.checked.violations[1], /r3 .* a server had received it$/v);
	assert.deepEqual([fixture.checked.count, fixture.checked.boundCount], [3, 3]);
});

test.test('SIGTERM counts for its own host, until 1 s after the grace time', async () => {
	const fixture = new Fixture();
	await fixture.cut(500);
	await fixture.time.advance(1);
	fixture.checked.begin({kind: 'SIGTERM', host: 1});
	await fixture.cut(500);
	await fixture.time.advance(1);
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	await fixture.time.advance(graceMs + 500);
	await fixture.cut(500);
	assert.equal(fixture.checked.violations.length, 1);
	await fixture.cut(500);
	assert.equal(fixture.checked.violations.length, 1);
	assert.deepEqual([fixture.checked.count, fixture.checked.boundCount], [4, 1]);
});

test.test('an unplanned disturbance of the host, the store or a server excuses requests until it has been over for a while', async () => {
	for (const scope of scopes) {
		const fixture = new Fixture();
		fixture.contact.begin([scope]);
		fixture.checked.begin({kind: 'SIGHUP', host: 0});
		await fixture.cut(500);
		fixture.contact.end([scope]);
		await fixture.time.advance(configurations.contactMs - 1);
		fixture.checked.begin({kind: 'SIGHUP', host: 0});
		await fixture.cut(500);
		assert.deepEqual(fixture.checked.violations, []);
		await fixture.cut(500);
		assert.equal(fixture.checked.violations.length, 1, 'a disturbance that is long over must not hide a fault');
	}
});

test.test('a disturbance that begins while the request waits excuses it; one that begins after its end does not', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	await fixture.cut(500);
	fixture.contact.begin(['host 0']);
	assert.equal(fixture.checked.violations.length, 1);
	await fixture.cut(500);
	assert.equal(fixture.checked.violations.length, 1);
});

test.test('a request that reached the timeout of its route is not counted', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	fixture.checked.arrive(await fixture.cut(timeoutMs));
	assert.deepEqual(fixture.checked.violations, []);
	await fixture.cut(timeoutMs - 1);
	assert.equal(fixture.checked.violations.length, 1);
});

test.test('the work of a server excuses the end of a request in the last sixth of the grace time, and only then', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	await fixture.time.advance(1600);
	fixture.checked.arrive('r1');
	await fixture.cut(899);
	assert.equal(fixture.checked.violations.length, 1, 'cut before the last sixth');
	fixture.checked.arrive('r2');
	await fixture.cut(300);
	assert.equal(fixture.checked.violations.length, 1, 'cut in the last sixth');
	await fixture.cut(250);
	assert.equal(fixture.checked.violations.length, 2, 'no server was at work on it');
});

test.test('an answer of the server before the last sixth of the grace time does not excuse the host', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	await fixture.time.advance(2400);
	fixture.checked.arrive('r1');
	fixture.checked.finish('r1');
	await fixture.cut(150);
	assert.equal(fixture.checked.violations.length, 1);
});

test.test('SIGHUP counts for requests sent until a configuration must be in force', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'SIGHUP', host: 0});
	await fixture.time.advance(configurations.configurationMs);
	await fixture.cut(500);
	assert.match(fixture.checked.violations[0], / 3500 ms after SIGHUP;/v);
	await fixture.cut(500);
	assert.equal(fixture.checked.violations.length, 1);
});

test.test('a configuration counts if its host ends requests more than three times as often as at other times', async () => {
	for (const [otherCuts, violations] of [[0, 1], [1, 1], [2, 0]] as const) {
		const fixture = new Fixture();
		for (let count = 0; count < 98 - otherCuts; count++) {
			fixture.serve();
		}

		for (let count = 0; count < otherCuts; count++) {
			await fixture.cut(500);
		}

		await fixture.time.advance(1);
		fixture.checked.begin({kind: 'configuration'});
		for (let count = 0; count < 19; count++) {
			fixture.serve();
		}

		await fixture.cut(500);
		assert.equal(fixture.checked.violations.length, violations, `${otherCuts} requests ended at other times`);
	}
});

test.test('a configuration counts neither without a comparison with other times, nor for a request that has used seven tenths of its time', async () => {
	const fixture = new Fixture();
	fixture.checked.begin({kind: 'configuration'});
	await fixture.cut(500);
	assert.deepEqual(fixture.checked.violations, []);
	await fixture.time.advance(10_000);
	fixture.serve();
	assert.equal(fixture.checked.violations.length, 1);
	fixture.checked.begin({kind: 'configuration'});
	await fixture.cut(timeoutMs * 0.7);
	assert.equal(fixture.checked.violations.length, 1);
});

test.test('a stall of the process of the callers does not age a request; one before it does not excuse it', async () => {
	const fixture = new Fixture();
	fixture.checked.stall(-500, 0);
	fixture.checked.begin({kind: 'SIGTERM', host: 0});
	await fixture.cut(300);
	assert.equal(fixture.checked.violations.length, 1);
	fixture.checked.stall(350, 450);
	await fixture.cut(300);
	assert.equal(fixture.checked.violations.length, 1);
});
