/** Cases of the comparison: faults of one server in each service, and the rules. */
import type * as model from './model.js';
import * as rules from './rules.js';

/** The fault lasts until this time; the rest of the run shows how a server that recovers is taken up. */
export const faultEndMs = 30_000;

export const usual = {
	requestsPerS: 900, durationMs: 60_000, swing: 0, burstMs: 0,
};

/** Changes of the demand by case. */
export function demand(name: string): Partial<typeof usual> {
	return {
		...(name.includes('swinging') && {swing: 0.55}),
		...(name.includes('bursts') && {burstMs: 100}),
		...(name.includes('high load') && {requestsPerS: 2400}),
	};
}

const whileFaulty = (server: model.Server, now: number, fault: model.Fault): model.Fault => server.id.endsWith('-0') && now < faultEndMs ? fault : {};

/** Faults by case. */
export const faults: Readonly<Record<string, model.Case['fault']>> = {
	'equal servers': () => ({}),
	'swinging demand': () => ({}),
	'bursts of all hosts': () => ({}),
	'high load, swinging': () => ({}),
	'high load, slow by 8': (server, now) => whileFaulty(server, now, {slowness: 8}),
	'high load, refuses 40%': (server, now) => whileFaulty(server, now, {busyRatio: 0.4}),
	'slow by 8': (server, now) => whileFaulty(server, now, {slowness: 8}),
	'refuses 40%': (server, now) => whileFaulty(server, now, {busyRatio: 0.4}),
	'fails 40%': (server, now) => whileFaulty(server, now, {failedRatio: 0.4}),
	'flaps each second': (server, now) => whileFaulty(server, now, {failedRatio: Math.floor(now / 1000) % 2}),
};

/** The rules by name. */
export function compared(fault: model.Case['fault']): Record<string, model.Case['build']> {
	return {
		previous: () => new rules.Previous(),
		reported: (time, source) => new rules.Reported(time, source),
		balancer: (time, source) => new rules.Balanced(time, source),
		omniscient: (time, source) => new rules.Omniscient(time, source, fault),
	};
}

/** Time after the end of the fault until the server that had it gets half of its usual requests again. */
export function recoveryMs(result: model.Result): number {
	const total = (second: number): number => [...result.history[second] ?? []].filter(([id]) => id.endsWith('-0')).reduce((sum, [, count]) => sum + count, 0);
	const usualCount = total(result.history.length - 2);
	const first = faultEndMs / 1000;
	for (let second = first; second < result.history.length; second++) {
		if (total(second) >= usualCount / 2) {
			return (second - first) * 1000;
		}
	}

	return Number.POSITIVE_INFINITY;
}
