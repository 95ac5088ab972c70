/** Command line of chivetally: daemons, commands for operators and callers, and stand-ins for tests. */
package org.chivetally.command;
