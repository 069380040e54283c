/**
Measures the time from the acknowledgement of a configuration to its effect on each host, on entry hosts as processes:
`node dist/bench/configuration.js --situation restarts --hosts 20`. Each configuration adds a route, and a session for it
shows whether a host has it. Exits with code 1 if a host in touch is later than the bound, or if a process returns to an
older configuration.
*/
import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as hdr from 'hdr-histogram-js';
import yargs from 'yargs';
import * as helpers from 'yargs/helpers';
import * as random from '../core/random.js';
import * as configurations from '../soak/configurations.js';
import * as contacts from '../soak/contact.js';
import * as probes from '../soak/probe.js';
import * as disturbances from './disturbance.js';
import * as fleets from './hosts.js';

const parameters = await yargs(helpers.hideBin(process.argv))
	.option('situation', {choices: disturbances.names, default: 'calm' as const, describe: 'What disturbs the hosts or the store meanwhile'})
	.option('hosts', {type: 'number', default: 20})
	.option('regions', {type: 'number', default: 3, describe: 'Regions, each of which has an observer of the store'})
	.option('connections', {type: 'number', default: 8, describe: 'Connections that a server accepts; with few of them hosts forward to each other'})
	.option('callers', {type: 'number', default: 12})
	.option('routes', {type: 'number', default: 0, describe: 'Number of routes without requests'})
	.option('configurationMs', {type: 'number', default: configurations.configurationMs, describe: 'Setting of the hosts, and the bound'})
	.option('contactMs', {type: 'number', default: configurations.contactMs, describe: 'Time without disturbance after which the bound holds for a host'})
	.option('changes', {type: 'number', default: 40})
	.option('seed', {type: 'number', default: 1})
	.option('processors', {type: 'string', default: '', describe: 'Processors on which the hosts run, as for taskset'})
	.option('busy', {type: 'number', default: 2, describe: 'Busy processes in the situation load'})
	.option('logs', {type: 'string', default: '', describe: 'Directory for the logs of the hosts'})
	.strict()
	.parse();

const startupMs = 6000;
const lowestGapMs = 100;
const highestGapMs = 2500;
const probeIntervalMs = 40;
/** Pause between two sessions for a route that a process has already served. */
const checkIntervalMs = 400;
/** Time after the last disturbance in which every host must get the last configuration. */
const settleMs = 10_000;
const highestDelayMs = 60_000;

/** Measures one host: the configuration that it has, and since when. */
class Meter {
	readonly #host: fleets.Host;
	/** Number of the highest configuration of which the current process has served a route. */
	#served = 0;
	#pid = 0;
	/** Number of the highest configuration that counts as measured, also over restarts of the process. */
	#measured = 0;

	#isStopped = false;

	constructor(host: fleets.Host) {
		this.#host = host;
	}

	/** Whether the host's current process has the latest configuration. */
	get isCurrent(): boolean {
		return this.#served === fleet.version && this.#pid === this.#host.child?.pid;
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Opens sessions until `stop` is called. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const before = this.#host.child?.pid ?? 0;
			if (before !== this.#pid) {
				this.#pid = before;
				this.#served = 0;
			}

			const isChecking = this.#served === fleet.version;
			const number = Math.min(this.#served + 1, fleet.version);
			const sentAt = fleet.time.now();
			const answer = await probes.openSession(fleet.time, this.#host.callerAddress, fleets.addedDatabase(number));
			if (answer && this.#host.child?.pid === before) {
				this.#record(number, answer, sentAt);
			}

			await fleet.time.sleep(isChecking ? checkIntervalMs : probeIntervalMs);
		}
	}

	#record(number: number, answer: configurations.Answer, sentAt: number): void {
		const delayMs = sentAt - (acknowledgedAt.get(number) ?? sentAt);
		const isInTouch = contact.quietSince(['store', 'hosts', `host ${this.#host.index}`]) <= sentAt - parameters.contactMs;
		boundAnswers += isInTouch ? 1 : 0;
		if (answer === 'known') {
			this.#served = Math.max(this.#served, number);
			if (number > this.#measured && number > 1) {
				this.#measured = number;
				delays.recordValue(Math.min(highestDelayMs, Math.max(0, Math.round(delayMs))));
			}

			return;
		}

		if (number <= this.#served) {
			violations.push(`${this.#host.name} regressed: it had served the route of ${number}`);
			this.#served = number - 1;
			return;
		}

		if (isInTouch) {
			latestRefusalMs = Math.max(latestRefusalMs, Math.round(delayMs));
			if (delayMs > parameters.configurationMs) {
				late.add(`${this.#host.name} was late with configuration ${number}`);
			}
		}
	}
}

const source = new random.Seeded(parameters.seed);
const fleet = new fleets.Fleet({...parameters, idleRoutes: parameters.routes, hasRelays: disturbances.needsRelays(parameters.situation)}, source);
const contact = new contacts.Contact(fleet.time);
const situation = disturbances.create(parameters.situation, {fleet, contact, random: source}, parameters);
const delays = hdr.build({highestTrackableValue: highestDelayMs, numberOfSignificantValueDigits: 3});
const acknowledgedAt = new Map<number, number>();
const violations: string[] = [];
const late = new Set<string>();
let latestRefusalMs = 0;
let boundAnswers = 0;

async function disturb(signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		await situation.disturb();
	}
}

/** Changes the configuration again and again, and disturbs meanwhile. */
async function changeAndDisturb(): Promise<void> {
	const changed = new AbortController();
	const disturbed = disturb(changed.signal);
	for (let count = 0; count < parameters.changes; count++) {
		fleet.configure();
		acknowledgedAt.set(fleet.version, fleet.time.now());
		await fleet.time.sleep(source.integer(lowestGapMs, highestGapMs));
	}

	changed.abort();
	await disturbed;
}

await fleet.start();
contact.begin(['hosts']);
contact.end(['hosts']);
await fleet.time.sleep(startupMs);
fleet.startCallers();
const meters = fleet.hosts.map(host => new Meter(host));
const measured = meters.map(async meter => meter.run());
await changeAndDisturb();
await fleet.time.sleep(settleMs);
const missing = fleet.hosts.filter((_, index) => !meters[index].isCurrent);
violations.push(...missing.map(({name}) => `${name} does not have the last configuration`), ...late, ...fleet.violations);
for (const meter of meters) {
	meter.stop();
}

await Promise.all(measured);
situation.stop();
await fleet.stop();

const lines = fleet.hosts.flatMap(({log}) => log);
const count = (message: string): number => lines.filter(line => line.includes(`"message":"${message}"`)).length;
console.log([
	`${parameters.situation}: ${delays.totalCount} measured`,
	`p50 ${delays.getValueAtPercentile(50)} ms, p99 ${delays.getValueAtPercentile(99)} ms, maximum ${delays.maxValue} ms`,
	`latest refusal of ${boundAnswers} answers in touch ${latestRefusalMs} ms, bound ${parameters.configurationMs} ms`,
	`store followed ${count('store-followed')} times, observer chosen ${count('observer-chosen')} times`,
	violations.length === 0 ? 'held' : `BROKEN ${violations.length}`,
].join('; '));
for (const violation of violations.slice(0, 20)) {
	console.log(`  ${violation}`);
}

if (parameters.logs !== '') {
	await fs.mkdir(parameters.logs, {recursive: true});
	await Promise.all(fleet.hosts.map(async ({name, log}) => fs.writeFile(`${parameters.logs}/${name}.log`, log.join('\n'))));
}

process.exitCode = violations.length === 0 ? 0 : 1;
