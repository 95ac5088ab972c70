/**
 * Open-loop load generator with fault injection. It checks the outcomes that clients receive against the starts that
 * minions record.
 */
package org.chivetally.load;
