/** Prints the figures of docs/design/load.md: `node dist/entry/load/tests/report.js`. */
import * as cases from './cases.js';
import * as model from './model.js';

const percent = (ratio: number): string => `${(ratio * 100).toFixed(2)}%`;

console.log('hosts | case | rule | busiest to mean | in each second | oscillation | rejected | failed | mean ms | 99% ms | left the place | used again after ms');
for (const hosts of [6, 28]) {
	for (const [name, fault] of Object.entries(cases.faults)) {
		for (const [rule, build] of Object.entries(cases.compared(fault))) {
			const result = model.run({
				...cases.usual, ...cases.demand(name), hosts, fault, build,
			}, 7);
			const ratios = [result.busiestToMean, result.busiestToMeanPerS, result.oscillation].map(value => value.toFixed(2));
			const shares = [result.rejectedRatio, result.failedRatio].map(value => percent(value));
			const latencies = [result.meanMs, result.p99Ms].map(value => value.toFixed(0));
			console.log([hosts, name, rule, ...ratios, ...shares, ...latencies, percent(result.remoteRatio), cases.recoveryMs(result)].join(' | '));
		}
	}
}
