/** Servers that replace the platform's log, minions, and the network between processes in tests. */
package org.chivetally.standins;
