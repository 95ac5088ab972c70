/** Clocks and timers, with an implementation in virtual time for tests. */
package org.chivetally.time;
