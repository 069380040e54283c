/**
Client library that callers may use instead of a plain MySQL driver.

@example
```
import {caller} from 'sycamorering';

const session = new caller.session.Session({hosts: ['10.0.1.1:3306'], user: 'secretary', password: 'secret'});
const outcome = await session.read('SELECT 1 AS one');
```
*/
export * as failure from './failure.js';
export * as session from './session.js';
