/** Tells from the processes' logs which jobs were lost or late, when, and for which reason. */
package org.chivetally.command.losses;
