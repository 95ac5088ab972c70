/** Small servers that take the place of the platform's log, of minions, and of the network between processes. */
package org.chivetally.standins;
