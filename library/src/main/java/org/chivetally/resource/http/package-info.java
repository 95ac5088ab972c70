/** HTTP interface with JSON documents through which operators and their tools read, change and watch resources. */
package org.chivetally.resource.http;
