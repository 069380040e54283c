/**
Library for operators, to declare a site and to print, validate, compare and apply its configuration.

@example
```
import {operator} from 'sycamorering';

const site = new operator.declaration.Site();
site.service('ledgers', {connections: 16, slots: 2})
	.server('a', {address: '10.0.0.1:3306', place: 'puget-a'})
	.server('b', {address: '10.0.1.1:3306', place: 'willamette-a'})
	.class('balance', {kind: 'read', maximumAgeMs: 2000})
	.class('reimbursement', {kind: 'write'});
site.account('secretary', {service: 'ledgers', tenant: 'cascade', password: 'secret'});
const text = operator.print.print(site.data);
```
*/
export * as change from './change.js';
export * as declaration from './declaration.js';
export * as print from './print.js';
export * as publish from './publish.js';
