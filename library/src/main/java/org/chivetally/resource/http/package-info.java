/** Resources over HTTP with JSON, for operators and their tools. */
package org.chivetally.resource.http;
