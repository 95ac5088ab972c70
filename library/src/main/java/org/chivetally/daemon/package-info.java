/** Assembly of entries and agents from their components, for the daemons and for deployments in one process. */
package org.chivetally.daemon;
