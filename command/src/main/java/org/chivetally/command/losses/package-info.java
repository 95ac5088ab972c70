/** Analysis of process logs: which jobs were lost or late, when, and why. */
package org.chivetally.command.losses;
