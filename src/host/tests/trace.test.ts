import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as test from 'node:test';
import type * as mysql from 'mysql2/promise';
import * as clock from '../../core/clock.js';
import * as workload from '../../standin/workload.js';
import * as pacedTime from './paced-time.js';

/**
A step, executed `atMs` after the start. Steps of one session run in sequence. `when` delays the step until a server
begins a statement that starts with the given text, and `after` until the earlier steps of another session have ended,
so that a slow machine does not change the interleaving that the trace tests.
*/
type Step = {readonly atMs: number; readonly when?: {readonly server: string; readonly sql: string}; readonly after?: string} & (
	| {readonly session: string; readonly host: number; readonly class: string; readonly sql: string; readonly expect: Expected}
	| {readonly fault: workload.Fault}
	| {readonly replace: 'isolating' | 'told'}
	| {readonly vanish: string}
);
/** Expected result of a statement: `ok` or the permitted kinds of failure, and the values of the column `mark`. */
type Expected = {readonly told: readonly string[]; readonly rows?: readonly string[]; readonly insertId?: number};
/** A trace. `log` lists the rows or tables that each entry of the final log creates. */
type Trace = {readonly guards: string; readonly lagMs: number; readonly steps: readonly Step[]; readonly log: ReadonlyArray<readonly string[]>};

const paced = new pacedTime.PacedTime();
test.after(() => {
	paced.finish();
});
const folder = new URL('../../../src/host/tests/traces/', import.meta.url);
const time = new clock.System();

class Replay {
	readonly #site: workload.Site;
	readonly #started = time.now();
	readonly #connections = new Map<string, mysql.Connection>();
	readonly #hosts = new Map<string, number>();
	readonly #positions = new Map<string, string>();
	readonly #pending = new Map<string, Promise<void>>();

	constructor(site: workload.Site) {
		this.#site = site;
	}

	async run(trace: Trace): Promise<void> {
		await Promise.all(trace.steps.map(async step => {
			const begun = step.when && this.#site.deployment.group.server(step.when.server).awaitStatement(step.when.sql);
			await time.sleep(this.#started + step.atMs - time.now());
			await begun;
			await this.#pending.get(step.after ?? '');
			await this.#step(step);
		}));
	}

	close(): void {
		for (const connection of this.#connections.values()) {
			connection.destroy();
		}
	}

	async #step(step: Step): Promise<void> {
		if ('fault' in step) {
			workload.injectFault(this.#site.deployment, step.fault);
		} else if ('replace' in step) {
			await this.#site.replacePrimary(step.replace === 'isolating');
		} else if ('vanish' in step) {
			this.#connections.get(`${step.vanish} 0`)?.destroy();
		} else {
			const previous = this.#pending.get(step.session);
			const tail = (async () => {
				await previous;
				await this.#execute(step);
			})();
			this.#pending.set(step.session, tail);
			await tail;
		}
	}

	async #execute({session, host, class: name, sql, expect}: Extract<Step, {sql: string}>): Promise<void> {
		const connection = await this.#connect(session, host);
		let result = 'ok';
		let content: unknown;
		try {
			[content] = await connection.query(`/* sycamorering class=${name} */ ${sql}`);
		} catch (error) {
			result = (error as Error).message;
		}

		assert.ok(expect.told.some(kind => result === 'ok' ? kind === 'ok' : result.startsWith(`${kind}:`)), `${session}: ${sql}: ${result}`);
		if (expect.rows) {
			assert.deepEqual((content as Array<{mark: string}>).map(({mark}) => mark), expect.rows, `${session}: ${sql}`);
		}

		if (expect.insertId) {
			assert.equal((content as {insertId: number}).insertId, expect.insertId, `${session}: ${sql}`);
		}

		this.#positions.set(session, await workload.readPosition(connection) ?? '');
	}

	/** The session's connection to a host. A session that changes hosts sets its position on the new connection. */
	async #connect(session: string, host: number): Promise<mysql.Connection> {
		const key = `${session} ${host}`;
		const connection = this.#connections.get(key) ?? await this.#site.deployment.connect(host);
		if (this.#hosts.get(session) !== host && this.#positions.get(session)) {
			await connection.query(`SET @sycamorering_position = '${this.#positions.get(session)!}'`);
		}

		this.#connections.set(key, connection);
		this.#hosts.set(session, host);
		return connection;
	}
}

for (const name of fs.readdirSync(folder)) {
	const trace = JSON.parse(fs.readFileSync(new URL(name, folder), 'utf8')) as Trace;
	// Each trace names the failure that it guards against.
	test.test(`trace ${name}: ${trace.guards}`, async () => {
		const site = await workload.Site.start(trace.lagMs);
		const replay = new Replay(site);
		try {
			await replay.run(trace);
			await site.settle();
			assert.deepEqual(
				site.finalLog()
					.map(({writes}) => writes.flatMap(sql => /VALUES \('(?<mark>\w+)'\)|EXISTS (?<table>\w+)/v.exec(sql)?.slice(1).find(Boolean) ?? []))
					.filter(created => created.length > 0),
				trace.log,
			);
			assert.deepEqual(site.checkConnections(), []);
		} finally {
			replay.close();
			await site.stop();
		}
	});
}
